package jobload

import (
	"strconv"
	"testing"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// grownFleet is the fleet of a customer after growth, at peak traffic: 352 instances in four pools
// and 85 jobs per second, each of two steps with eight tasks on average.
func grownFleet() Scenario {
	sc := Scenario{Seed: 1, Length: 15 * time.Second, Instances: 88, Capacity: job.Resources{CPUMilli: 32000, MemMB: 64000}}
	kind := JobKind{Steps: 2, Width: 8, CPUMilli: 10000, MemMB: 4000, TaskDuration: 700 * time.Millisecond, EstimateError: 0.3}
	for _, name := range []string{"a", "b", "c", "d"} {
		sc.Queues = append(sc.Queues, Queue{Name: name, PerSecond: 85.0 / 4, RateFactor: Constant, Kind: kind})
	}
	return sc
}

// BenchmarkGrownFleet reports the time to simulate one second of grownFleet and the number of tasks
// started in it. The time includes the simulation itself.
func BenchmarkGrownFleet(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		sc := grownFleet()
		began := time.Now()
		r := Run(sc)
		b.ReportMetric(float64(time.Since(began).Milliseconds())/sc.Length.Seconds(), "ms/fleet-second")
		b.ReportMetric(float64(r.Starts)/sc.Length.Seconds(), "tasks/fleet-second")
	}
}

// fleetOf is grownFleet with another number of instances and the same load per instance.
func fleetOf(instances int) Scenario {
	sc := grownFleet()
	grown := sc.Instances * len(sc.Queues)
	sc.Instances = instances / len(sc.Queues)
	sc.Length = 6 * time.Second
	for i := range sc.Queues {
		sc.Queues[i].PerSecond *= float64(instances) / float64(grown)
	}
	return sc
}

// BenchmarkFleetSize reports the time of the owner's decisions by fleet size, without that of the
// simulation: per event, including its reaction and its share of the timer ticks, and per kind of
// event.
func BenchmarkFleetSize(b *testing.B) {
	for _, instances := range []int{350, 1100, 3000, 13000} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r := Run(fleetOf(instances))
				m := r.Meter
				b.ReportMetric(float64(m.Total().Microseconds())/float64(m.InputEvents()), "us/event")
				for k, d := range m.Spent {
					b.ReportMetric(float64(d.Nanoseconds())/float64(max(1, m.Events[k])), "ns/"+EventKind(k).String())
				}
				b.ReportMetric(r.InTimeShare(), "in-time")
			}
		})
	}
}
