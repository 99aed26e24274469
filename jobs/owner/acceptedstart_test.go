package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// ownerAfter returns an owner that takes over the given time after r was lost, with the instances of r.
// The workers named in lost are gone: their instances are down.
func (r *rig) ownerAfter(d time.Duration, j *job.Job, p job.Progress, lost ...WorkerID) *rig {
	next := newRig(r.t, r.core.opt.Term+1)
	next.now = r.now.Add(d)
	next.core = New(next.core.opt, next.core.catalog, []StoredJob{{Job: j, Progress: &p}}, next.now)
	for n, g := range r.regs {
		i := r.inst[n]
		isLost := false
		for _, id := range lost {
			isLost = isLost || id == g.Worker
		}
		if isLost {
			i.State = InstanceDown
		} else {
			next.regs = append(next.regs, g)
		}
		next.inst = append(next.inst, i)
	}
	next.publishLists()
	return next
}

// TestOwnerLostTogetherWithAnIsolatedWorker guards against a task that crashes its workers without end because
// the owner is lost in the same moment, before it can have stored the crash. An accepted start counts
// for nothing if its worker lives, if the rack is lost, or long after.
func TestOwnerLostTogetherWithAnIsolatedWorker(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration // from the loss of the owner to the next term
		alive   bool          // the worker is up
		rack    bool          // the other worker of its rack is lost, too
		crashes int           // confirmed by the next owner
	}{
		{name: "at once", after: 50 * time.Millisecond, crashes: 1},
		{name: "after the owner's lease", after: 1500 * time.Millisecond, crashes: 1},
		{name: "long after", after: maxUnseenExposure},
		{name: "the owners' clocks differ", after: -time.Second},
		{name: "the worker answers", after: 50 * time.Millisecond, alive: true},
		{name: "the rack is lost", after: 50 * time.Millisecond, rack: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.addWorkers("w0", "w1", "w2", "w3", "w4")
			r.regs[1].Rack, r.regs[2].Rack = "r", "r"
			r.inst[1].Rack, r.inst[2].Rack = "r", "r"
			r.regs[3].Capacity.CPUMilli *= 2 // emptier, so that those of the rack are preferred
			r.regs[4].Capacity.CPUMilli *= 2
			r.publishLists()
			j := r.isolateAfterCrash(1)
			r.answerHolds(2*attributionDelay, nil)
			second := r.confirmStarts()
			require.Len(t, second, 1)
			p := r.store(job.Progress{})
			require.Len(t, p.Steps[0].Accepted[0], 1)
			var lost []WorkerID
			if !c.alive {
				lost = append(lost, second[0].Worker)
			}
			if c.rack {
				require.Contains(t, []WorkerID{"w1", "w2"}, second[0].Worker)
				lost = []WorkerID{"w1", "w2"}
			}
			next := r.ownerAfter(c.after, j, p, lost...)
			next.answerHolds(4*time.Second, nil)
			assert.Len(t, crashesHeldAgainst(next.core.TakeDecisions(), second), c.crashes)
		})
	}
}

// TestInheritedTaskIsRememberedAfterAnUnseenLoss: after a takeover at which a worker was found lost, the next
// owner is told which workers have accepted inherited tasks, until their runs are stable; otherwise not.
func TestInheritedTaskIsRememberedAfterAnUnseenLoss(t *testing.T) {
	for _, lost := range [][]WorkerID{{"w0"}, nil} {
		r := newRig(t, 1)
		r.addWorkers("w0", "w1", "w2")
		j := r.submit(1, 1)
		next := r.ownerAfter(50*time.Millisecond, j, job.Progress{State: job.Running}, lost...)
		next.answerHolds(100*time.Millisecond, nil)
		sent := next.confirmStarts()
		require.Len(t, sent, 1)
		stored := next.store(job.Progress{})
		if lost == nil {
			assert.Empty(t, stored.Steps)
			continue
		}
		require.Len(t, stored.Steps, 1)
		k := stored.Steps[0].Accepted[0].Find(sent[0].Run)
		require.NotNil(t, k)
		assert.False(t, k.SoleSuspect, "others may be started beside it")
		next.answerHolds(time.Second, sent)
		assert.Empty(t, next.core.jobs[j.ID].progress().Steps)
	}
}
