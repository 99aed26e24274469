package store

import (
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of next writes that take effect and whose connection is closed
	// before the answer.
	LoseAnswers int `json:"lose_answers"`
	// ReadsPerSecond and WritesPerSecond limit calls; 0 means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// Calls counts the calls to the service; a watch is one call however long it lasts.
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
	mu        sync.Mutex
	faults    Faults
	calls     Calls
	second    int64 // Unix time in seconds that used counts for
	used      [2]int
	dropWatch chan struct{} // closed to end every watch; replaced then
	changed   chan struct{} // closed and replaced when the faults change
	downSince time.Time
}

func newFaultControl() *faultControl {
	return &faultControl{dropWatch: make(chan struct{}), changed: make(chan struct{})}
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
		s.dropLocked()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	return outage
}

func (s *faultControl) dropLocked() {
	close(s.dropWatch)
	s.dropWatch = make(chan struct{})
}

func (s *faultControl) dropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLocked()
}

// decision is what happens to one call.
type decision struct {
	down    bool
	limited bool
	delay   time.Duration
	dropped <-chan struct{}
}

func (s *faultControl) admit(k callKind, now time.Time) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := decision{
		down:    s.faults.Down,
		delay:   time.Duration(s.faults.DelayMillis) * time.Millisecond,
		dropped: s.dropWatch,
	}
	if d.down {
		return d
	}
	s.countLocked(k)
	d.limited = s.overLimitLocked(k, now)
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

func (s *faultControl) overLimitLocked(k callKind, now time.Time) bool {
	if now.Unix() != s.second {
		s.second = now.Unix()
		s.used = [2]int{}
	}
	limit, slot := s.faults.ReadsPerSecond, 0
	if k == kindWrite {
		limit, slot = s.faults.WritesPerSecond, 1
	}
	s.used[slot]++
	if limit == 0 || s.used[slot] <= limit {
		return false
	}
	s.calls.Limited++
	return true
}

// loseAnswer reports whether the answer of the write that just took effect is to be lost, and
// counts it.
func (s *faultControl) loseAnswer() bool {
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
