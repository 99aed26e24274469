package store

import (
	"sync"
	"time"
)

// Faults are the ways in which the stand-in can be told to misbehave. The zero
// value is a healthy service.
type Faults struct {
	// Down refuses every call at once.
	Down bool `json:"down"`
	// DelayMillis holds every call for that many milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is how many of the next writes take effect and then have
	// their connection cut before the answer.
	LoseAnswers int `json:"lose_answers"`
	// ReadsPerSecond and WritesPerSecond limit calls; 0 means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// Calls counts what the service was asked, a waiting watch as one call.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
	Bytes   int64 `json:"bytes"`
}

// kind is the sort of a call, for counting and limits.
type kind uint8

const (
	kindRead kind = iota
	kindWrite
	kindWatch
)

// switchboard holds the current faults and counts.
type switchboard struct {
	mu        sync.Mutex
	faults    Faults
	calls     Calls
	second    int64 // the second that used counts for
	used      [2]int
	dropWatch chan struct{} // closed to drop every watch
	changed   chan struct{} // closed at every change of faults
	downSince time.Time
}

func newSwitchboard() *switchboard {
	return &switchboard{dropWatch: make(chan struct{}), changed: make(chan struct{})}
}

// set replaces the faults and returns for how long the service had been down
// if that ended now.
func (s *switchboard) set(f Faults, now time.Time) time.Duration {
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

func (s *switchboard) dropLocked() {
	close(s.dropWatch)
	s.dropWatch = make(chan struct{})
}

func (s *switchboard) dropWatches() {
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

func (s *switchboard) admit(k kind, now time.Time) decision {
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

func (s *switchboard) countLocked(k kind) {
	switch k {
	case kindRead:
		s.calls.Reads++
	case kindWrite:
		s.calls.Writes++
	case kindWatch:
		s.calls.Watches++
	}
}

func (s *switchboard) overLimitLocked(k kind, now time.Time) bool {
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

// loseAnswer reports whether the answer of the write that just took effect is
// to be lost.
func (s *switchboard) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *switchboard) snapshot() (Faults, Calls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.calls
}
