package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAJobIsPlacedAnewOnlyWhenItsLastAttemptDoesNotRun covers what a placed job
// that its worker does not report may mean.
func TestAJobIsPlacedAnewOnlyWhenItsLastAttemptDoesNotRun(t *testing.T) {
	lease := DefaultOptions.TaskLease
	for _, tc := range []struct {
		name     string
		leaving  bool
		asked    time.Duration // when the last answered round began, after the placement; negative: none
		unsure   time.Duration // when a round last got no answer; negative: never
		lost     time.Duration // how long the job has been found lost; negative: not yet
		now      time.Duration
		want     fleet.JobState
		wantLost bool
	}{
		{"just placed", false, -1, -1, -1, time.Second, fleet.JobPlaced, false},
		{"not started within a lease", false, -1, -1, -1, lease, fleet.JobPlaced, true},
		{"lost, its lease may still run", false, -1, -1, lease, 2 * lease, fleet.JobPlaced, true},
		{"lost for two leases", false, -1, -1, 2 * lease, 4 * lease, fleet.JobPending, true},
		{"drained and stopped", true, lease + time.Second, -1, -1, lease + 2*time.Second, fleet.JobPending, false},
		{"drained, a start may be under way", true, time.Second, -1, -1, 2 * time.Second, fleet.JobPlaced, false},
		{"drained, a round got no answer lately", true, lease + time.Second, lease, -1, lease + 2*time.Second, fleet.JobPlaced, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			state := fleet.NewState()
			state.Shards[fleet.ShardOf("w")] = fleet.Versioned[fleet.MemberShard]{Value: &fleet.MemberShard{Members: []fleet.Membership{{Instance: "w", Pool: "p"}}}}
			inst := fleet.Instance{ID: "w", State: fleet.InstanceReady}
			if tc.leaving {
				inst.State = fleet.InstanceDraining
			}
			c := &Controller{opts: DefaultOptions, tasks: newTaskBoard()}
			if tc.asked >= 0 {
				c.tasks.reports["w"] = taskReport{asked: t0.Add(tc.asked)}
			}
			if tc.unsure >= 0 {
				c.tasks.unsureAt["w"] = t0.Add(tc.unsure)
			}
			j := &fleet.Job{Name: "j", State: fleet.JobPlaced, Worker: "w", Attempt: 1, PlacedAt: t0}
			if tc.lost >= 0 {
				j.LostAt = t0.Add(tc.now - tc.lost)
			}
			r := &roundState{c: c, now: t0.Add(tc.now), snap: &Snapshot{State: state, Instances: map[fleet.InstanceID]fleet.Instance{"w": inst}}}
			r.jobMissing(j)
			assert.Equal(t, tc.want, j.State)
			if tc.want == fleet.JobPlaced {
				assert.Equal(t, tc.wantLost, !j.LostAt.IsZero())
			}
		})
	}
}

func TestQuietRounds(t *testing.T) {
	s := fleet.NewState()
	assert.False(t, busy(s))
	s.Waves["w"] = fleet.Versioned[fleet.Wave]{Value: &fleet.Wave{State: fleet.WaveDone}}
	assert.False(t, busy(s))
	s.Pools["p"] = fleet.Versioned[fleet.Pool]{Value: &fleet.Pool{Requests: []fleet.Request{{Instance: "i"}}}}
	assert.True(t, busy(s))
}
