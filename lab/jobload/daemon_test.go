package jobload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// slowLinkFleet is a fleet of 132 instances, in four pools with rotating load and a spare pool. On a
// small daemon, with an eighth of a core and a link of 2 Mbit/s, each turn needs more task starts
// than the link can carry: 380 per second of 1.3 KB each.
func slowLinkFleet(seed uint64, d Daemon) Scenario {
	small := JobKind{Steps: 1.6, Width: 8, CPUMilli: 4500, MemMB: 16000, TaskDuration: 800 * time.Millisecond, EstimateError: 0.5}
	large := JobKind{Steps: 2, Width: 8, CPUMilli: 9700, MemMB: 20000, TaskDuration: 1700 * time.Millisecond, EstimateError: 0.5}
	sc := Scenario{Seed: seed, Length: 34 * time.Second, Instances: 27, Spare: 24, Capacity: job.Resources{CPUMilli: 32000, MemMB: 131072}, Daemon: &d}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 6.3, Kind: small},
		{Name: "b", PerSecond: 1.24, Kind: large, Priority: 1},
		{Name: "c", PerSecond: 7.8, Kind: small},
		{Name: "d", PerSecond: 1.5, Kind: large, Priority: 1},
	} {
		q.RateFactor = Rotating(i, 4, 5*time.Second, 4, 0.05)
		sc.Queues = append(sc.Queues, q)
	}
	return sc
}

// TestOwnerOnSmallDaemon runs slowLinkFleet. However late the owner's calls are, it must not let task
// leases expire, nor start a task that may be running or is done. The cases with a mechanism switched
// off show its effect.
func TestOwnerOnSmallDaemon(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemon    Daemon
		minInTime float64 // share of jobs on time
		maxInTime float64
	}{
		{"as built", Daemon{Cores: 0.12, LinkMbps: 2}, 0.6, 1},
		{"full lists polled", Daemon{Cores: 0.12, LinkMbps: 2, PollFullLists: true}, 0, 0.3},
		{"unlimited starts", Daemon{Cores: 0.12, LinkMbps: 2, UnlimitedStarts: true}, 0, 0.3},
		{"faster link", Daemon{Cores: 0.12, LinkMbps: 20}, 0.85, 1},
		{"large daemon", Daemon{Cores: 0.8, LinkMbps: 200}, 0.9, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Run(slowLinkFleet(1, c.daemon))
			t.Logf("jobs %d, in time %.3f, late %d, open %d, starts %d, duplicate starts %d, expired tasks %d", r.Jobs, r.InTimeShare(), r.Late, r.Open, r.Starts, r.DuplicateStarts, r.ExpiredTasks)
			assert.GreaterOrEqual(t, r.InTimeShare(), c.minInTime)
			assert.LessOrEqual(t, r.InTimeShare(), c.maxInTime)
			assert.Zero(t, r.ExpiredTasks)
			assert.Zero(t, r.DuplicateStarts)
		})
	}
}
