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
	bootStart      time.Duration // CLOCK_BOOTTIME at creation
	monotonicStart time.Time     // monotonic clock at creation
	maxSuspended   atomic.Int64  // highest total returned so far, in ns
}

// NewMeter returns a meter. It fails if the system has no CLOCK_BOOTTIME.
func NewMeter() (*Meter, error) {
	boot, err := readBootClock()
	if err != nil {
		return nil, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return &Meter{bootStart: boot, monotonicStart: time.Now()}, nil
}

// readBootClock returns the time since the system booted, including suspension.
func readBootClock() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Suspended returns the total time of all suspensions since the meter was created. It never
// decreases. Each call makes a system call.
func (m *Meter) Suspended() time.Duration {
	boot, err := readBootClock()
	if err != nil {
		return time.Duration(m.maxSuspended.Load()) // not expected, as NewMeter could read the clock
	}
	now := int64(boot - m.bootStart - time.Since(m.monotonicStart))
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
