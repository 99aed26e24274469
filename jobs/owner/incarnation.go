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

// A worker may restart under the same ID. Its new incarnation has no runs, and starts over with its
// numbers of run ends, its clock and the highest fencing token that it has seen. Incarnations are
// told apart by their start times. These are compared only for equality, as the worker's time of
// day may go back across a restart. An unknown start time matches every incarnation.
//
// A worker's answer proves which incarnation is alive. A registration does not: another program may
// have written it. So a start time that only a registration has named yields to an earlier one that the
// worker names again.

// incarnation identifies one incarnation of a worker.
type incarnation struct {
	worker    WorkerID
	startedMs int64 // 0: not known
}

// String returns the form of the incarnation in job records: WORKER or WORKER@STARTED_MS.
func (inc incarnation) String() string {
	if inc.startedMs == 0 {
		return string(inc.worker)
	}
	return string(inc.worker) + "@" + strconv.FormatInt(inc.startedMs, 10)
}

// compareIncarnations orders incarnations by worker ID, then by start time.
func compareIncarnations(a, b incarnation) int {
	return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.startedMs, b.startedMs))
}

// parseIncarnation is the inverse of String.
func parseIncarnation(s string) incarnation {
	at := strings.LastIndexByte(s, '@')
	if at < 0 {
		return incarnation{worker: WorkerID(s)}
	}
	startedMs, err := strconv.ParseInt(s[at+1:], 10, 64)
	if err != nil {
		return incarnation{worker: WorkerID(s)}
	}
	return incarnation{WorkerID(s[:at]), startedMs}
}

func (w *worker) incarnation() incarnation { return incarnation{w.Worker, w.StartedMs} }

// incarnationOn returns the incarnation of the instance's worker, without a start time if the
// worker is not known.
func (c *Core) incarnationOn(i *Instance) incarnation {
	if w := c.workers[i.Worker]; w != nil {
		return w.incarnation()
	}
	return incarnation{worker: i.Worker}
}

// currentWorker returns the worker if the incarnation is its current one, otherwise nil.
func (c *Core) currentWorker(inc incarnation) *worker {
	if w := c.workers[inc.worker]; w != nil && w.relationTo(inc.startedMs) == sameIncarnation {
		return w
	}
	return nil
}

// targetedWorker returns the worker that an order was sent to. It returns nil if another
// incarnation of the worker has begun since, about which the order's outcome says nothing.
func (c *Core) targetedWorker(t Target) *worker {
	return c.currentWorker(incarnation{t.Worker, t.StartedMs})
}

// incarnationRelation is how an incarnation relates to the one that the core knows.
type incarnationRelation int

const (
	sameIncarnation incarnationRelation = iota
	pastIncarnation                     // known to have ended earlier
	nextIncarnation
)

// relationTo returns how the incarnation that started at startedMs relates to w.
func (w *worker) relationTo(startedMs int64) incarnationRelation {
	switch {
	case startedMs == w.StartedMs || startedMs == 0 || w.StartedMs == 0:
		return sameIncarnation
	case slices.Contains(w.pastStartsMs, startedMs):
		return pastIncarnation
	}
	return nextIncarnation
}

// maxPastIncarnations is how many past incarnations of a worker are remembered. A message from
// an older one would have been delayed for longer than any timeout.
const maxPastIncarnations = 8

// newWorker adds a worker with no known state.
func (c *Core) newWorker(id WorkerID, startedMs int64, now time.Time) *worker {
	w := &worker{
		Registration: Registration{Worker: id, StartedMs: startedMs},
		firstSeenAt:  now,
		runs:         map[job.TaskID]*run{},
		unknownRuns:  map[job.TaskID]unknownRun{},
		unknownEnds:  map[uint64]unknownEnd{},
	}
	c.workers[id] = w
	c.holdsDue.add(now, w)
	return w
}

// startIncarnation ends the known incarnation of a worker and begins a new one under the same ID.
// The runs have ended with the past incarnation, unless their start order reached the new one. They
// are kept until the first run list of the new one shows which is the case, so that their tasks do
// not start elsewhere until then.
func (c *Core) startIncarnation(old *worker, startedMs int64, proof string, now time.Time) *worker {
	c.logDecision(Decision{Event: "worker-restarted", Worker: old.Worker, Reason: fmt.Sprintf("%s; the past incarnation had %d runs", proof, len(old.runs))})
	if !old.ended {
		old.ended = true
		c.scheduleAttribution(old, now)
	}
	c.removeWorker(old.Worker)
	w := c.newWorker(old.Worker, startedMs, now)
	w.pastStartsMs = append(slices.Clone(old.pastStartsMs), old.StartedMs)
	w.pastStartsMs = slices.DeleteFunc(w.pastStartsMs, func(past int64) bool { return past == startedMs })
	w.pastStartsMs = w.pastStartsMs[max(0, len(w.pastStartsMs)-maxPastIncarnations):]
	w.Registration = old.Registration
	w.StartedMs, w.Draining = startedMs, false
	c.workersByService.add(w)
	for _, r := range runsByNumber(old) {
		old.removeRun(r)
		r.moveToIncarnation(w, now)
	}
	c.markWorkerChanged(w)
	return w
}

// moveToIncarnation assigns the run to the worker's next incarnation, whose run list will show
// whether it exists there.
func (r *run) moveToIncarnation(w *worker, now time.Time) {
	r.worker = w
	r.fromPastIncarnation = true
	w.addRun(r)
	if r.phase == starting {
		r.mayStartLate, r.startAbandonedAt = true, now
	}
}

// leaseExpiry returns the time by which all leases granted to a worker that does not answer have
// expired. For an incarnation that has never answered, the longest possible lease counts. An
// earlier owner may have granted a longer lease than this one. known is false if nothing is known of
// the worker's leases.
func (c *Core) leaseExpiry(w *worker) (at time.Time, known bool) {
	switch {
	case w.lease.known:
		at = w.lease.expiry()
		if c.opt.Term > 1 {
			at = laterOf(at, c.earlierLeaseExpiry())
		}
		return at, true
	case len(w.pastStartsMs) == 0:
		return time.Time{}, false
	}
	maxLease := time.Duration(float64(max(c.opt.MaxWorkerLease, c.opt.TaskLease))/(1-maxClockSlowdown)) + leaseMargin
	return w.firstSeenAt.Add(maxLease), true
}

// ackThrough returns the number up to which the next hold acknowledges run ends. It is 0 while
// the worker does not answer: if a new incarnation has begun, it would drop its own run ends.
func (w *worker) ackThrough() uint64 {
	if w.StartedMs != 0 && (!w.silentSince.IsZero() || !w.contactLoss.lostAt.IsZero()) {
		return 0
	}
	return w.lastAckedEnd
}

// pastIncarnationListedFor is how long after the start of an incarnation the instance list may
// still show the state of the one before.
const pastIncarnationListedFor = 3 * time.Second

// mayShowPastIncarnation reports whether the instance list may still show an earlier
// incarnation of the worker under the same ID.
func (c *Core) mayShowPastIncarnation(id WorkerID, now time.Time) bool {
	w := c.workers[id]
	return w != nil && len(w.pastStartsMs) > 0 && now.Sub(w.firstSeenAt) < pastIncarnationListedFor
}
