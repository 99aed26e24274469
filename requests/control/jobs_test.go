package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestJobIsPlacedAgainOnlyAfterItsLastAttemptStopped guards against two attempts of
// one job running at the same time. Its worker does not report the job: it may not
// have started it yet, may have stopped it, or may be unreachable and still run it.
func TestJobIsPlacedAgainOnlyAfterItsLastAttemptStopped(t *testing.T) {
	lease := DefaultOptions.TaskLease
	for _, tc := range []struct {
		name       string
		leaving    bool
		answered   time.Duration // from the placement to the last answered sync request; negative: none
		unanswered time.Duration // from the placement to the last unanswered sync request; negative: none
		lost       time.Duration // how long the job has been lost; negative: not lost
		now        time.Duration
		want       fleet.JobState
		wantLost   bool
	}{
		{"just placed", false, -1, -1, -1, time.Second, fleet.JobPlaced, false},
		{"not started within a lease", false, -1, -1, -1, lease, fleet.JobPlaced, true},
		{"lost, its lease may still be valid", false, -1, -1, lease, 2 * lease, fleet.JobPlaced, true},
		{"lost for two leases", false, -1, -1, 2 * lease, 4 * lease, fleet.JobPending, true},
		{"drained and stopped", true, lease + time.Second, -1, -1, lease + 2*time.Second, fleet.JobPending, false},
		{"drained, a start may be in progress", true, time.Second, -1, -1, 2 * time.Second, fleet.JobPlaced, false},
		{"drained, a recent sync request got no answer", true, lease + time.Second, lease, -1, lease + 2*time.Second, fleet.JobPlaced, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			state := fleet.NewState()
			state.Shards[fleet.ShardOf("w")] = fleet.Versioned[fleet.MemberShard]{Value: &fleet.MemberShard{Members: []fleet.Membership{{Instance: "w", Pool: "p"}}}}
			inst := fleet.Instance{ID: "w", State: fleet.InstanceReady}
			if tc.leaving {
				inst.State = fleet.InstanceDraining
			}
			c := &Controller{opts: DefaultOptions, tasks: newTaskTracker()}
			if tc.answered >= 0 {
				c.tasks.reports["w"] = taskReport{sentAt: t0.Add(tc.answered)}
			}
			if tc.unanswered >= 0 {
				c.tasks.unansweredAt["w"] = t0.Add(tc.unanswered)
			}
			j := &fleet.Job{Name: "j", State: fleet.JobPlaced, Worker: "w", Attempt: 1, PlacedAt: t0}
			if tc.lost >= 0 {
				j.LostAt = t0.Add(tc.now - tc.lost)
			}
			r := &round{c: c, now: t0.Add(tc.now), snap: &Snapshot{State: state, Instances: map[fleet.InstanceID]fleet.Instance{"w": inst}}}
			r.handleMissingTask(j)
			assert.Equal(t, tc.want, j.State)
			if tc.want == fleet.JobPlaced {
				assert.Equal(t, tc.wantLost, !j.LostAt.IsZero())
			}
		})
	}
}

func TestWorkPending(t *testing.T) {
	s := fleet.NewState()
	assert.False(t, workPending(s))
	s.Waves["w"] = fleet.Versioned[fleet.Wave]{Value: &fleet.Wave{State: fleet.WaveDone}}
	assert.False(t, workPending(s))
	s.Pools["p"] = fleet.Versioned[fleet.Pool]{Value: &fleet.Pool{Requests: []fleet.Request{{Instance: "i"}}}}
	assert.True(t, workPending(s))
}

// TestAWorkersLastReportExpires guards against a job that is placed for ever on a worker that
// ended: the worker's last report lists the job as running. Once the report is as old as a lease,
// the job is lost, and two leases later it is placed again. Meanwhile its lease is not renewed, since
// the worker may still run it without its answers arriving.
func TestAWorkersLastReportExpires(t *testing.T) {
	lease := DefaultOptions.TaskLease
	state := fleet.NewState()
	state.Shards[fleet.ShardOf("w")] = fleet.Versioned[fleet.MemberShard]{Value: &fleet.MemberShard{Members: []fleet.Membership{{Instance: "w", Pool: "p"}}}}
	snap := &Snapshot{State: state, Instances: map[fleet.InstanceID]fleet.Instance{"w": {ID: "w", State: fleet.InstanceReady}}}
	c := &Controller{opts: DefaultOptions, tasks: newTaskTracker()}
	j := &fleet.Job{Name: "j", State: fleet.JobPlaced, Worker: "w", Attempt: 1, PlacedAt: t0.Add(-time.Hour)}
	report := func(at time.Duration, s fleet.TaskState) {
		c.tasks.reports["w"] = taskReport{sentAt: t0.Add(at), receivedAt: t0.Add(at), tasks: []fleet.Task{{Pool: "p", Job: "j", Attempt: 1, State: s}}}
	}
	observe := func(at time.Duration) *round {
		r := &round{c: c, now: t0.Add(at), snap: snap}
		r.observeJob("p", j)
		return r
	}
	renewed := func(r *round) bool {
		var s port.TaskSyncRequest
		r.addToSync("p", j, &s)
		assert.Empty(t, s.Start, "its run may not have ended")
		return len(s.Keep) > 0
	}
	report(0, fleet.TaskRunning)
	assert.True(t, renewed(observe(lease-1)))
	assert.True(t, j.LostAt.IsZero())
	assert.False(t, renewed(observe(lease)))
	assert.Equal(t, t0.Add(lease), j.LostAt)

	report(2*lease, fleet.TaskRunning)
	assert.True(t, renewed(observe(2*lease)), "the worker answers again")
	assert.True(t, j.LostAt.IsZero())

	observe(3 * lease)
	observe(5*lease - 1)
	assert.Equal(t, fleet.JobPlaced, j.State, "its lease may still be valid")
	observe(5 * lease)
	assert.Equal(t, fleet.JobPending, j.State)

	*j = fleet.Job{Name: "j", State: fleet.JobPlaced, Worker: "w", Attempt: 1, PlacedAt: t0.Add(-time.Hour)}
	report(0, fleet.TaskDone)
	observe(time.Hour)
	assert.Equal(t, fleet.JobDone, j.State, "an end does not expire")

	*j = fleet.Job{Name: "j", State: fleet.JobCancelled, Worker: "w", Attempt: 1}
	report(0, fleet.TaskRunning)
	for at, stopped := range map[time.Duration]bool{0: true, lease - 1: true, lease: false} {
		var s port.TaskSyncRequest
		urgent := (&round{c: c, now: t0.Add(at), snap: snap}).addToSync("p", j, &s)
		assert.Equal(t, stopped, urgent, "a cancelled job's task has ended by itself after a lease")
		assert.Equal(t, stopped, len(s.Stop) == 1)
	}
}
