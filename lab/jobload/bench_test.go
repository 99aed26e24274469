package jobload

import (
	"testing"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// grownFleet is a grown customer's fleet at the peak of its traffic: 352 instances in
// four pools, 85 jobs a second of two steps with eight tasks each.
func grownFleet() Scenario {
	sc := Scenario{Seed: 1, Length: 15 * time.Second, Instances: 88, Room: job.Resources{CPUMilli: 32000, MemMB: 64000}}
	kind := Kind{Steps: 2, Width: 8, CPUMilli: 10000, MemMB: 4000, Task: 700 * time.Millisecond, EstOff: 0.3}
	for _, name := range []string{"a", "b", "c", "d"} {
		sc.Queues = append(sc.Queues, Queue{Name: name, PerSecond: 85.0 / 4, Shape: Steady, Kind: kind})
	}
	return sc
}

// BenchmarkGrownFleet reports the processor time for one second of a grown fleet, the
// stand-ins' included.
func BenchmarkGrownFleet(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		sc := grownFleet()
		began := time.Now()
		r := Play(sc)
		b.ReportMetric(float64(time.Since(began).Milliseconds())/sc.Length.Seconds(), "ms/fleet-second")
		b.ReportMetric(float64(r.Starts)/sc.Length.Seconds(), "tasks/fleet-second")
	}
}
