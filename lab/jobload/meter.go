package jobload

import "time"

// EventKind is what the owner is told, or asked to do.
type EventKind int

// The kinds.
const (
	StartAnswered EventKind = iota
	StopAnswered
	HoldAnswered
	Submission
	Recorded // records are chosen for the store, or are written
	ListRead // registrations, instances, answers to orders for these
	TimerTick
	Reaction // to an event of any other kind
	eventKinds
)

var eventNames = [eventKinds]string{"start", "stop", "hold", "submit", "record", "list", "tick", "react"}

// String returns the kind's name in reports.
func (k EventKind) String() string { return eventNames[k] }

// Meter sums up the real time that the owner's decisions took, by kind of event.
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

// InputEvents returns how many events the owner was told of.
func (m *Meter) InputEvents() int {
	n := 0
	for k, events := range m.Events {
		if k := EventKind(k); k != TimerTick && k != Reaction {
			n += events
		}
	}
	return n
}

// Total returns the time that all took together.
func (m *Meter) Total() time.Duration {
	var sum time.Duration
	for _, d := range m.Spent {
		sum += d
	}
	return sum
}
