package fleet

import (
	"slices"
	"time"
)

// WaveName names a maintenance wave.
type WaveName string

// WaveState is the state of a wave.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused" // by an operator
	WaveHalted    WaveState = "halted" // by wave.ShouldHalt
	WaveCancelled WaveState = "cancelled"
	WaveDone      WaveState = "done"
)

// Wave drains, reboots and returns every instance of its pools once.
type Wave struct {
	Name      WaveName
	Pools     []PoolName
	State     WaveState
	Reason    string `json:",omitempty"` // why it is halted
	StartedAt time.Time
	EndedAt   time.Time // zero until it has ended
	// Deadline is when the wave must have ended; zero means none.
	Deadline time.Time
	// Forgiven is the number of failed instances when operators last resumed the
	// wave; wave.ShouldHalt does not count them.
	Forgiven int `json:",omitempty"`
	// Finished and Failed are set when the wave ends: the numbers of instances that
	// it rebooted and that it skipped.
	Finished int        `json:",omitempty"`
	Failed   int        `json:",omitempty"`
	Applied  CommandLog `json:",omitempty"`
}

// Clone returns a deep copy of w.
func (w *Wave) Clone() *Wave {
	c := *w
	c.Pools = slices.Clone(w.Pools)
	c.Applied = slices.Clone(w.Applied)
	return &c
}

// Covers reports whether the wave covers pool p.
func (w *Wave) Covers(p PoolName) bool { return slices.Contains(w.Pools, p) }

// Ended reports whether the wave's state is final. The wave then starts no more
// disruptions.
func (w *Wave) Ended() bool { return w.State == WaveCancelled || w.State == WaveDone }
