package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// addSpares adds instances of the spare pool, without workers.
func (r *rig) addSpares(ids ...InstanceID) {
	for _, id := range ids {
		r.inst = append(r.inst, Instance{ID: id, Pool: "spare", State: InstanceUp})
	}
}

// TestANewOwnerMovesInstancesAtOnce: only instances for which the previous owner may have sent a
// recent order get no order for the period DutyHandover.
func TestANewOwnerMovesInstancesAtOnce(t *testing.T) {
	r := newRig(t, 1)
	opt := r.core.opt
	opt.Term, opt.PoolPolicy, opt.Weights = 2, capacity.Demand, capacity.DefaultWeights
	opt.PriorOrders = []RecentOrder{{Instance: "x1", Age: -time.Second}, {Instance: "x2", Age: -time.Second}, {Instance: "x0", Age: time.Minute}}
	r.core = New(opt, r.core.catalog, nil, r.now)
	r.addSpares("x1", "x2", "y")
	w := r.worker("a")
	r.answerHold(w, nil)
	for n := range 4 { // 32 cores of work, 8 cores of capacity
		r.submit(n+1, 8)
	}
	r.publishLists()
	r.tick(200 * time.Millisecond)
	require.Len(t, r.out.InstanceOrders, 1)
	assert.Equal(t, InstanceID("y"), r.out.InstanceOrders[0].Instance)

	r.core.OnInstanceOrderAnswer(r.out.InstanceOrders[0], DutyDone, r.now)
	for range 9 {
		r.tick(400 * time.Millisecond)
		r.publishLists()
	}
	assert.Len(t, r.out.InstanceOrders, 1, "4.2 s have not passed")
	for range 3 {
		r.tick(400 * time.Millisecond)
		r.publishLists()
	}
	assert.Len(t, r.out.InstanceOrders, 3)
}

// TestNewOwnerKnowsTheArrivalRate: it is computed from the jobs in the store.
func TestNewOwnerKnowsTheArrivalRate(t *testing.T) {
	r := newRig(t, 1)
	var loaded []StoredJob
	for n := range 10 {
		j := simpleJob(n, 8) // 8 core-seconds
		j.AcceptedAt = r.now.Add(-time.Duration(10-n) * 100 * time.Millisecond)
		loaded = append(loaded, StoredJob{Job: j, Progress: &job.Progress{State: job.Completed}})
	}
	c := New(r.core.opt, r.core.catalog, loaded, r.now)
	assert.InDelta(t, 80, c.pool("s").arrivalRate.WorkPerSecond(0, r.now), 10)
}

// TestAnEndedJobsRunIsStopped: an owner knows only the state of a job that ended before its
// term. A run of it is stopped when it is listed.
func TestAnEndedJobsRunIsStopped(t *testing.T) {
	j := simpleJob(1, 1)
	j.Payload = ""
	r := newRig(t, 2, StoredJob{Job: j, Progress: &job.Progress{State: job.Cancelled}})
	w := r.worker("a")
	r.answerHold(w, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: runsPerTerm + 5}})
	require.Len(t, r.out.Stops, 1)
	assert.Equal(t, uint64(runsPerTerm+5), r.out.Stops[0].Run)
}
