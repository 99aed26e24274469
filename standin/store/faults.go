package store

import (
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call and ends the watches.
	Down bool `json:"down"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of writes, from the next one on, that take effect but whose
	// connection is closed before the answer.
	LoseAnswers int `json:"lose_answers"`
	// ReadsPerSecond and WritesPerSecond limit the calls; watches count as reads. 0 means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// Calls counts the calls to the store. A watch is one call however long it lasts. Limited counts
// the calls over the limits of Faults.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
	Bytes   int64 `json:"bytes"`
}

// callKind is the kind of a call, for counts and limits.
type callKind uint8

const (
	kindRead callKind = iota
	kindWrite
	kindWatch
)

// faultControl holds the current faults and the counts of calls.
type faultControl struct {
	mu             sync.Mutex
	faults         Faults
	calls          Calls
	second         int64 // the second that callsInSecond counts, in Unix time
	callsInSecond  [2]int
	watchesDropped chan struct{} // closed and replaced to end every watch
	changed        chan struct{} // closed and replaced when the faults change
	downSince      time.Time
}

func newFaultControl() *faultControl {
	return &faultControl{watchesDropped: make(chan struct{}), changed: make(chan struct{})}
}

// set replaces the faults. If this ends an outage it returns its duration.
func (s *faultControl) set(f Faults, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var outage time.Duration
	if s.faults.Down && !f.Down {
		outage = now.Sub(s.downSince)
	}
	if !s.faults.Down && f.Down {
		s.downSince = now
		s.dropWatchesLocked()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	return outage
}

func (s *faultControl) dropWatchesLocked() {
	close(s.watchesDropped)
	s.watchesDropped = make(chan struct{})
}

func (s *faultControl) dropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropWatchesLocked()
}

// decision is what the faults do to a call.
type decision struct {
	down    bool
	limited bool
	delay   time.Duration
	dropped <-chan struct{} // closed when the watches are dropped
}

// admit counts a call and decides what the faults do to it. Calls while the store is unavailable
// don't count.
func (s *faultControl) admit(k callKind, now time.Time) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decision{
		down:    s.faults.Down,
		delay:   time.Duration(s.faults.DelayMillis) * time.Millisecond,
		dropped: s.watchesDropped,
	}
	if d.down {
		return d
	}
	s.countLocked(k)
	d.limited = s.exceedsLimitLocked(k, now)
	return d
}

func (s *faultControl) countLocked(k callKind) {
	switch k {
	case kindRead:
		s.calls.Reads++
	case kindWrite:
		s.calls.Writes++
	case kindWatch:
		s.calls.Watches++
	}
}

// exceedsLimitLocked counts a call in the current second and reports whether it exceeds its limit.
func (s *faultControl) exceedsLimitLocked(k callKind, now time.Time) bool {
	if now.Unix() != s.second {
		s.second = now.Unix()
		s.callsInSecond = [2]int{}
	}
	limit, slot := s.faults.ReadsPerSecond, 0
	if k == kindWrite {
		limit, slot = s.faults.WritesPerSecond, 1
	}
	s.callsInSecond[slot]++
	if limit == 0 || s.callsInSecond[slot] <= limit {
		return false
	}
	s.calls.Limited++
	return true
}

// takeLostAnswer reports whether the answer to the write that just took effect is lost. If so, it
// decrements Faults.LoseAnswers.
func (s *faultControl) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *faultControl) snapshot() (Faults, Calls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.calls
}
