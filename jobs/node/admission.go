package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/gateway"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// reportedWaitAge is how long what the owner has said of its wait counts. A daemon that
// refuses jobs hears no more of it, accepts the next one after this time, and knows anew.
const reportedWaitAge = 2 * time.Second

// codeOverloaded says that the owner would get to the job too late.
const codeOverloaded verdict.Code = "scheduler-overloaded"

// admission knows how long the owner needs until it gets to new work. A job that could
// only be late is refused at once, while its caller can still come back: accepted, it
// would take processor time from those that can be in time.
type admission struct{ wait atomic.Pointer[reportedWait] }

type reportedWait struct {
	wait time.Duration
	at   time.Time
}

func (a *admission) learn(wait time.Duration, now time.Time) {
	a.wait.Store(&reportedWait{wait, now})
}

// tooLate returns after which time a caller should come back with a job that would be
// late by then; 0 if it is to be accepted. Long-running and timed jobs always are.
func (a *admission) tooLate(j *job.Job, q *job.Queue, now time.Time) time.Duration {
	r := a.wait.Load()
	if r == nil || now.Sub(r.at) > reportedWaitAge || j.Repeat > 0 || j.Steps[0].LongRunning {
		return 0
	}
	chain := owner.Chain(j)
	spare := time.Duration(q.Stretch*float64(chain)) + q.Objective - chain
	return max(0, r.wait-spare)
}

// refuse returns an error if the job is not to be accepted. One that is in the store
// already is accepted again: callers repeat what they got no answer to.
func (n *Node) refuse(ctx context.Context, j *job.Job) error {
	catalog := n.catalog.Load()
	if catalog == nil {
		return nil
	}
	q := catalog.Queue(j.Queue)
	if q == nil {
		return nil
	}
	after := n.admission.tooLate(j, q, time.Now())
	if after == 0 {
		return nil
	}
	if known, err := ledger.Known(ctx, n.store, j.ID); err != nil || known {
		return nil // accepted before, or not known: accepting decides
	}
	n.log.Info("job-not-admitted", zap.String("job", string(j.ID)), zap.String("queue", j.Queue), zap.Duration("late-by", after))
	return verdict.Wrap(&gateway.Overloaded{After: after}, verdict.NotRun, codeOverloaded, "job %s", j.ID)
}
