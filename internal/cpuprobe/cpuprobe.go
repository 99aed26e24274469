// Package cpuprobe measures the current speed of the CPU by timing a fixed computation.
package cpuprobe

import (
	"sync/atomic"
	"time"
)

// iterations is the length of the computation. It takes 20 to 50 µs, which is long compared to
// reading the clock and short enough to be preempted rarely.
const iterations = 5000

// sink keeps the compiler from eliminating the computation.
var sink atomic.Uint64

// Run does the computation and returns its duration.
func Run() time.Duration {
	began := time.Now()
	x := uint64(88172645463325252) // the usual seed of xorshift; any value but 0 will do
	for range iterations {         // xorshift: no memory access, no branches
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	sink.Store(x)
	return time.Since(began)
}
