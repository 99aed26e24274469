package owner

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// A worker may start again under its id. It then holds and knows nothing of before: its
// numbers of ends, its clock and the fencing token that it has seen start anew. When it was
// born tells one life from another. That is compared for being the same alone, never for
// which is later: the time of day of a worker may go back between two lives. What does not
// say when it was born says nothing of which life it is of.

// incarnation is one incarnation of a worker.
type incarnation struct {
	worker    WorkerID
	startedMs int64 // 0: not known
}

// String returns the life as records name it.
func (l incarnation) String() string {
	if l.startedMs == 0 {
		return string(l.worker)
	}
	return string(l.worker) + "@" + strconv.FormatInt(l.startedMs, 10)
}

// compareIncarnations orders lives by their workers' ids.
func compareIncarnations(a, b incarnation) int {
	return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.startedMs, b.startedMs))
}

// parseIncarnation is the inverse of String.
func parseIncarnation(s string) incarnation {
	at := strings.LastIndexByte(s, '@')
	if at < 0 {
		return incarnation{worker: WorkerID(s)}
	}
	born, err := strconv.ParseInt(s[at+1:], 10, 64)
	if err != nil {
		return incarnation{worker: WorkerID(s)}
	}
	return incarnation{WorkerID(s[:at]), born}
}

func (w *worker) incarnation() incarnation { return incarnation{w.Worker, w.StartedMs} }

// incarnationOn returns the life that the instance list shows on an instance, as far as is known.
func (c *Core) incarnationOn(i *Instance) incarnation {
	if w := c.workers[i.Worker]; w != nil {
		return w.incarnation()
	}
	return incarnation{worker: i.Worker}
}

// currentWorker returns the worker if that life is its currentWorker one, nil if not.
func (c *Core) currentWorker(l incarnation) *worker {
	if w := c.workers[l.worker]; w != nil && w.relationTo(l.startedMs) == sameIncarnation {
		return w
	}
	return nil
}

// targetedWorker returns the worker that an order was sent to, nil if that life of it is over: what
// became of the order says nothing of the present one.
func (c *Core) targetedWorker(t Target) *worker {
	return c.currentWorker(incarnation{t.Worker, t.StartedMs})
}

// incarnationRelation is how a life that is spoken of relates to the one that is known.
type incarnationRelation int

const (
	sameIncarnation incarnationRelation = iota
	pastIncarnation                     // it was known to be over before
	nextIncarnation
)

func (w *worker) relationTo(born int64) incarnationRelation {
	switch {
	case born == w.StartedMs || born == 0 || w.StartedMs == 0:
		return sameIncarnation
	case slices.Contains(w.pastStartsMs, born):
		return pastIncarnation
	}
	return nextIncarnation
}

// maxPastIncarnations is how many former lives of a worker are remembered. What is late by more than
// some of them would have to be late by more than any answer is waited for.
const maxPastIncarnations = 8

// newWorker adds a worker of which nothing is known yet.
func (c *Core) newWorker(id WorkerID, born int64, now time.Time) *worker {
	w := &worker{
		Registration: Registration{Worker: id, StartedMs: born},
		firstSeenAt:  now,
		runs:         map[job.TaskID]*run{},
		unknownRuns:  map[job.TaskID]unknownRun{},
		unknownEnds:  map[uint64]unknownEnd{},
	}
	c.workers[id] = w
	c.holdsDue.add(now, w)
	return w
}

// startIncarnation ends the known life of a worker and begins another under the same id. What was
// started on the life before ended with it, unless the order reached the new one: its first
// list tells, so that nothing starts elsewhere until then.
func (c *Core) startIncarnation(old *worker, born int64, proof string, now time.Time) *worker {
	c.note(Decision{Event: "worker-reborn", Worker: old.Worker, Reason: fmt.Sprintf("%s, %d runs", proof, len(old.runs))})
	if !old.ended {
		old.ended = true
		c.investigateLoss(old, now)
	}
	c.forgetWorker(old.Worker)
	w := c.newWorker(old.Worker, born, now)
	w.pastStartsMs = append(slices.Clone(old.pastStartsMs), old.StartedMs)
	w.pastStartsMs = w.pastStartsMs[max(0, len(w.pastStartsMs)-maxPastIncarnations):]
	w.Registration = old.Registration
	w.StartedMs, w.Draining = born, false
	c.workersByService.add(w)
	for _, r := range runsByNumber(old) {
		old.removeRun(r)
		r.moveToIncarnation(w, now)
	}
	c.markWorkerChanged(w)
	return w
}

// moveToIncarnation lets the next life of the run's worker tell what became of it.
func (r *run) moveToIncarnation(w *worker, now time.Time) {
	r.worker = w
	r.fromPastIncarnation = true
	w.addRun(r)
	if r.phase == starting {
		r.mayStartLate, r.startAbandonedAt = true, now
	}
}

// leasesExpired reports whether nothing that the worker was told to start can run any more, if it
// does not answer. Of a life that never has, no more is known than how long any lease can be.
func (c *Core) leasesExpired(w *worker, now time.Time) bool {
	if w.lease.known || len(w.pastStartsMs) == 0 {
		return w.lease.expired(now)
	}
	longest := time.Duration(float64(max(c.opt.MaxWorkerLease, c.opt.TaskLease))/(1-maxClockSlowdown)) + leaseMargin
	return now.Sub(w.firstSeenAt) > longest
}

// ackThrough returns the number up to which the worker may forget ends. While it does not
// answer another life of it may have begun, which would forget its own.
func (w *worker) ackThrough() uint64 {
	if w.StartedMs != 0 && (!w.silentSince.IsZero() || !w.contactLoss.lostAt.IsZero()) {
		return 0
	}
	return w.lastAckedEnd
}

// pastIncarnationListedFor is for how long after a life began the instance list may still say what
// became of the one before.
const pastIncarnationListedFor = 3 * time.Second

// mayShowPastIncarnation reports whether the instance list may speak of an earlier life of the
// worker, under the same id.
func (c *Core) mayShowPastIncarnation(id WorkerID, now time.Time) bool {
	w := c.workers[id]
	return w != nil && len(w.pastStartsMs) > 0 && now.Sub(w.firstSeenAt) < pastIncarnationListedFor
}
