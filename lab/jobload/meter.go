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
	Recorded // records are selected for the store, or have been written
	ListRead // registrations or instances were read, or an order for an instance was answered
	TimerTick
	Reaction // decisions after an event of another kind
	numEventKinds
)

var eventNames = [numEventKinds]string{"start", "stop", "hold", "submit", "record", "list", "tick", "react"}

// String returns the kind's name in benchmark reports.
func (k EventKind) String() string { return eventNames[k] }

// Meter counts the events that the owner's core handles and sums up the real time spent on them, by
// kind.
type Meter struct {
	Events [numEventKinds]int
	Spent  [numEventKinds]time.Duration
}

func (m *Meter) measure(k EventKind, do func()) {
	began := time.Now()
	do()
	m.Spent[k] += time.Since(began)
	m.Events[k]++
}

// InputEvents returns the number of events without timer ticks and reactions.
func (m *Meter) InputEvents() int {
	n := 0
	for k, events := range m.Events {
		if k := EventKind(k); k != TimerTick && k != Reaction {
			n += events
		}
	}
	return n
}

// Total returns the time spent on events of all kinds.
func (m *Meter) Total() time.Duration {
	var sum time.Duration
	for _, d := range m.Spent {
		sum += d
	}
	return sum
}
