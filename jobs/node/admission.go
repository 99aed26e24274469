package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/gateway"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// codeOverloaded says that the owner would get to the job too late.
const codeOverloaded verdict.Code = "scheduler-overloaded"

// checkAdmission returns an error if the job is known to be late if it was accepted: its caller can
// still come back, and the owner's time goes to jobs that can be in time. While the owner
// keeps up it is not asked. One that is in the store already is accepted again: callers
// repeat what they got no answer to.
func (n *Node) checkAdmission(ctx context.Context, j *job.Job) error {
	if !n.ownerBacklogged.Load() {
		return nil
	}
	late := n.estimateLateness(ctx, j)
	if late == 0 {
		return nil
	}
	if known, err := ledger.JobExists(ctx, n.store, j.ID); err != nil || known {
		return nil // accepted before, or that is not known: accepting decides
	}
	n.log.Info("job-not-admitted", zap.String("job", string(j.ID)), zap.String("queue", j.Queue), zap.Duration("late-by", late))
	return verdict.Wrap(&gateway.OverloadedError{RetryAfter: late}, verdict.NotRun, codeOverloaded, "job %s", j.ID)
}

// estimateLateness asks the owner by how much the job would be late, 0 if it cannot tell.
func (n *Node) estimateLateness(ctx context.Context, j *job.Job) time.Duration {
	if t := n.term.Load(); t != nil {
		return t.admit(j).LateBy
	}
	lock := n.lock.Load()
	if lock == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	bare := *j
	bare.Payload = "" // which is most of a job, and is of no account here
	r, err := n.peers.Admit(ctx, lock.Addr, &bare)
	if err != nil {
		n.log.Info("owner-not-asked", zap.String("job", string(j.ID)), zap.Error(err))
		return 0
	}
	if !r.Owner || r.LateBy == 0 {
		n.ownerBacklogged.Store(false) // the next job that it is told of shows it anew
	}
	return r.LateBy
}
