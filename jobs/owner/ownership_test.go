package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestLeasesAfterTheStoreLease: an owner whose store lease may have ended renews no lease beyond the
// wait of the next owner, and renews fully again once it knows that it held the store lease throughout.
func TestLeasesAfterTheStoreLease(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	until := r.now.Add(time.Second)
	r.core.SetOwnedUntil(r.now, until, r.now)
	for range 12 {
		r.answerHold(w, nil)
		r.tick(500 * time.Millisecond)
	}
	latest := int64(0)
	for _, h := range r.out.Holds {
		latest = max(latest, h.LeaseUntilMs)
	}
	assert.Equal(t, rigClockMs+(time.Second+rigLease).Milliseconds(), latest)
	r.core.SetOwnedUntil(r.now, r.now.Add(time.Second), r.now)
	r.answerHold(w, nil)
	r.tick(0)
	assert.Equal(t, r.clockMs()+rigLease.Milliseconds(), r.out.Holds[len(r.out.Holds)-1].LeaseUntilMs)
}

// TestALapseIsAProofOnlyForACertainOwner: runs of a silent worker are lost with its lease only if
// no other daemon can have been the owner by then. If that becomes known later, they are lost then.
func TestALapseIsAProofOnlyForACertainOwner(t *testing.T) {
	r := newRig(t, 1)
	w, other := r.worker("w"), r.worker("z")
	r.answerHold(w, nil)
	r.core.SetOwnedUntil(r.now, r.now.Add(time.Second), r.now)
	r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	require.Equal(t, w, starts[0].Worker)
	r.answerHold(other, nil)
	r.failHold(w)
	r.tick(2 * rigLease)
	assert.Empty(t, r.out.Starts)
	r.core.SetOwnedUntil(r.now, r.now.Add(time.Second), r.now)
	r.tick(25 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Equal(t, other, r.out.Starts[0].Worker)
}

// TestStartsAfterTheStoreLease: an owner whose store lease may have ended starts tasks only if they
// end before its last leases do, and only on workers that it knew before.
func TestStartsAfterTheStoreLease(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate time.Duration
		after    time.Duration // since the certain end
		late     bool          // the worker answers first after the certain end
		started  bool
	}{
		{"short task", time.Second, time.Second, false, true},
		{"task that outlasts the leases", 3 * time.Second, time.Second, false, false},
		{"late start", time.Second, 3 * time.Second, false, false},
		{"worker known too late", time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			w := r.worker("w")
			if !c.late {
				r.answerHold(w, nil)
			}
			r.core.SetOwnedUntil(r.now, r.now, r.now)
			r.tick(c.after)
			r.answerHold(w, nil)
			j := simpleJob(1, 1)
			j.Steps[0].Estimate = c.estimate
			r.core.Submit(j, r.now)
			r.tick(25 * time.Millisecond)
			assert.Equal(t, c.started, len(r.out.Starts) > 0)
			r.core.SetOwnedUntil(r.now, r.now.Add(time.Second), r.now)
			r.tick(200 * time.Millisecond)
			assert.NotEmpty(t, r.out.Starts, "started once the owner is certain again")
		})
	}
}

// TestAWorkersClockReadAfterASuspension: a clock that was read right after a suspension, before the
// owner noticed it, is not taken for older than it is. Leases would otherwise be too long by the suspension.
func TestAWorkersClockReadAfterASuspension(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	checked := r.now
	r.answerHold(w, nil)
	r.core.ReportSuspension(3*time.Second, checked, r.now)
	r.tick(0)
	assert.LessOrEqual(t, r.out.Holds[len(r.out.Holds)-1].LeaseUntilMs, r.clockMs()+rigLease.Milliseconds())
}

// TestALapseIsProvenByALaterRenewal: the clock alone proves no lapse, as the store lease may have
// been revoked.
func TestALapseIsProvenByALaterRenewal(t *testing.T) {
	r := newRig(t, 1)
	w, other := r.worker("w"), r.worker("z")
	r.answerHold(w, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	r.core.SetOwnedUntil(r.now, r.now.Add(time.Minute), r.now)
	r.answerHold(other, nil)
	r.failHold(w)
	r.tick(2 * rigLease)
	assert.Empty(t, r.out.Starts)
	r.core.SetOwnedUntil(r.now, r.now.Add(time.Minute), r.now)
	r.tick(25 * time.Millisecond)
	assert.Len(t, r.out.Starts, 1)
}

// TestALeaseOfAnEarlierOwnerMayLastLonger: the end of this owner's own grant is no proof while an
// earlier owner's lease may last.
func TestALeaseOfAnEarlierOwnerMayLastLonger(t *testing.T) {
	const left = 2 * time.Second
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	r.core.opt.PriorLeaseLeft = left
	w, other := r.worker("w"), r.worker("z")
	r.answerHold(other, nil)
	r.answerHold(w, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: runsPerTerm + 1}})
	r.failHold(w)
	r.tick(r.core.maxLeaseDuration() + left - 100*time.Millisecond)
	assert.Empty(t, r.out.Starts)
	r.answerHold(other, nil)
	r.tick(200 * time.Millisecond)
	assert.Len(t, r.out.Starts, 1)
}

// TestTakeoverAfterARevokedLease: a new owner waits for the leases of an earlier one that may have
// taken its store lease for held after it was revoked.
func TestTakeoverAfterARevokedLease(t *testing.T) {
	const left = 2 * time.Second
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 1)})
	r.core.opt.PriorLeaseLeft = left
	w := r.worker("w")
	r.worker("silent")
	r.answerHold(w, nil)
	r.tick(r.core.maxLeaseDuration() + left - 100*time.Millisecond)
	assert.Empty(t, r.out.Starts)
	r.answerHold(w, nil)
	r.tick(200 * time.Millisecond)
	assert.NotEmpty(t, r.out.Starts)
}
