// Package suspension measures how long the instance was suspended. The monotonic clock of the Go
// runtime stops during suspension, while leases in the store and on workers keep expiring.
package suspension

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Meter measures the total time that the instance was suspended since the meter was created.
type Meter struct {
	read         func() (reading, error)
	start        reading      // at creation
	maxSuspended atomic.Int64 // highest total returned so far, in ns
}

// reading is one reading of both clocks.
type reading struct {
	boot      time.Duration // CLOCK_BOOTTIME: since the system booted, including suspension
	monotonic time.Time     // the monotonic clock, read right after the other
}

// NewMeter returns a meter. It fails if the system has no CLOCK_BOOTTIME.
func NewMeter() (*Meter, error) { return newMeter(readClocks) }

func newMeter(read func() (reading, error)) (*Meter, error) {
	start, err := read()
	if err != nil {
		return nil, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return &Meter{read: read, start: start}, nil
}

func readClocks() (reading, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return reading{}, err
	}
	return reading{boot: time.Duration(ts.Nano()), monotonic: time.Now()}, nil
}

// Suspended returns the total time of all suspensions since the meter was created. It never
// decreases. Each call makes a system call.
//
// The clocks are read one after the other. The time between the two reads at creation is added to
// the total, and the time between those of a call is missing from it, until a later call reads
// them closer together.
func (m *Meter) Suspended() time.Duration {
	r, err := m.read()
	if err != nil {
		return time.Duration(m.maxSuspended.Load()) // not expected, as NewMeter could read the clock
	}
	now := int64(r.boot - m.start.boot - r.monotonic.Sub(m.start.monotonic))
	for {
		last := m.maxSuspended.Load()
		if now <= last {
			return time.Duration(last)
		}
		if m.maxSuspended.CompareAndSwap(last, now) {
			return time.Duration(now)
		}
	}
}
