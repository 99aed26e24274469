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

// codeOverloaded means that the job was refused because it would be late.
const codeOverloaded verdict.Code = "scheduler-overloaded"

// checkAdmission returns an error if the owner expects the job to be late: its caller can retry
// later, and the owner works on jobs that can be on time. The owner is asked only while it is
// backlogged. A job that is already in the store is not refused, as callers repeat requests that
// got no answer.
func (n *Node) checkAdmission(ctx context.Context, j *job.Job) error {
	if !n.ownerBacklogged.Load() {
		return nil
	}
	late := n.estimateLateness(ctx, j)
	if late == 0 {
		return nil
	}
	if known, err := ledger.JobExists(ctx, n.store, j.ID); err != nil || known {
		return nil // accepted before, or unknown: Accept decides
	}
	n.log.Info("job-admission-refused", zap.String("job", string(j.ID)), zap.String("queue", j.Queue), zap.Duration("late-by", late))
	return verdict.Wrap(&gateway.OverloadedError{RetryAfter: late}, verdict.NotRun, codeOverloaded, "job %s refused", j.ID)
}

// estimateLateness asks the owner by how much the job would be late. It returns 0 if the job
// would be on time or the owner does not answer.
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
	withoutPayload := *j
	withoutPayload.Payload = "" // most of a job's size, and not needed here
	r, err := n.peers.Admit(ctx, lock.Addr, &withoutPayload)
	if err != nil {
		n.log.Info("admission-query-failed", zap.String("job", string(j.ID)), zap.Error(err))
		return 0
	}
	if !r.Owner || r.LateBy == 0 {
		n.ownerBacklogged.Store(false) // the reply to the next submission sets it again if necessary
	}
	return r.LateBy
}
