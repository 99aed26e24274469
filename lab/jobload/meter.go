package jobload

import "time"

// EventKind is the kind of an event that the owner's core handles.
type EventKind int

// Event kinds.
const (
	StartAnswered EventKind = iota
	StopAnswered
	HoldAnswered
	Submission
	Recorded // records are selected for the store, or were written
	ListRead // registrations, instances, answers to orders for instances
	TimerTick
	Reaction // to an event of another kind
	eventKinds
)

var eventNames = [eventKinds]string{"start", "stop", "hold", "submit", "record", "list", "tick", "react"}

// String returns the kind's name in benchmark reports.
func (k EventKind) String() string { return eventNames[k] }

// Meter sums up the number and real time of the owner's decisions by kind of event.
type Meter struct {
	Events [eventKinds]int
	Spent  [eventKinds]time.Duration
}

func (m *Meter) measure(k EventKind, do func()) {
	began := time.Now()
	do()
	m.Spent[k] += time.Since(began)
	m.Events[k]++
}

// InputEvents returns the number of events that were delivered to the owner, without ticks and reactions.
func (m *Meter) InputEvents() int {
	n := 0
	for k, events := range m.Events {
		if k := EventKind(k); k != TimerTick && k != Reaction {
			n += events
		}
	}
	return n
}

// Total returns the time of all kinds together.
func (m *Meter) Total() time.Duration {
	var sum time.Duration
	for _, d := range m.Spent {
		sum += d
	}
	return sum
}
