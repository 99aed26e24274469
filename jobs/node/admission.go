package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/gateway"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// Codes of refused jobs.
const (
	codeOverloaded verdict.Code = "scheduler-overloaded" // the job would be late
	codeImpossible verdict.Code = "job-impossible"       // the job can never run
)

// checkAdmission returns an error if the owner refuses the job. The owner is asked only about jobs
// that the hint of its last reply concerns; a job about which it does not answer is accepted. A job
// that is already in the store is not refused, as callers repeat requests that got no answer.
func (n *Node) checkAdmission(ctx context.Context, j *job.Job) error {
	hint := n.admissionHint.Load()
	if hint == nil || !hint.MustAsk(j) {
		return nil
	}
	d := n.askAdmission(ctx, j)
	if d.Reason == admission.NotRefused {
		return nil
	}
	if known, err := ledger.JobExists(ctx, n.store, j.ID); err != nil || known {
		return nil // accepted before, or unknown: Accept decides
	}
	n.metrics.jobRefused(j.Queue, d)
	n.log.Info("job-admission-refused", zap.String("job", string(j.ID)), zap.String("queue", j.Queue), zap.String("pool", j.Service), zap.String("tenant", j.Tenant),
		zap.String("reason", string(d.Reason)), zap.Duration("start-in", d.StartIn), zap.Duration("late-by", d.LateBy), zap.Duration("retry-after", d.RetryAfter))
	if d.IsFinal() {
		return verdict.Wrap(&gateway.ImpossibleError{Reason: d.Reason}, verdict.NotRun, codeImpossible, "job %s refused", j.ID)
	}
	return verdict.Wrap(&gateway.OverloadedError{Reason: d.Reason, LateBy: d.LateBy, RetryAfter: d.RetryAfter}, verdict.NotRun, codeOverloaded, "job %s refused", j.ID)
}

// askAdmission asks the owner whether to accept the job. Without an answer the job is accepted.
func (n *Node) askAdmission(ctx context.Context, j *job.Job) admission.Decision {
	if t := n.term.Load(); t != nil {
		return t.admit(j).Decision
	}
	lock := n.lock.Load()
	if lock == nil {
		return admission.Decision{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	withoutPayload := *j
	withoutPayload.Payload = "" // most of a job's size, and not needed here
	r, err := n.peers.Admit(ctx, lock.Addr, &withoutPayload)
	if err != nil {
		n.log.Info("admission-query-failed", zap.String("job", string(j.ID)), zap.Error(err))
	}
	if err != nil || !r.Owner {
		// The owner's reply to the next submission sets it again. Meanwhile no submission waits for
		// an owner that is gone.
		n.admissionHint.Store(nil)
		return admission.Decision{}
	}
	n.admissionHint.Store(&r.Hint)
	return r.Decision
}
