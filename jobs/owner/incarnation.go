package owner

import (
	"cmp"
	"fmt"
	"maps"
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
// A worker cannot tell which of its incarnations an order is meant for, and may execute it late. So
// each incarnation has a higher fencing token than the ones before it: once it has executed one order
// of its own, it refuses all that were meant for those.
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
	w := c.currentWorker(incarnation{t.Worker, t.StartedMs})
	if w == nil || t.Token != 0 && t.Token < w.token {
		return nil
	}
	return w
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
		token:        c.fencingToken,
		firstSeenAt:  now,
		runs:         map[job.TaskID]*run{},
		unknownRuns:  map[job.TaskID]unknownRun{},
		unknownEnds:  map[uint64]unknownEnd{},
	}
	if f, known := c.formerWorkers[id]; known {
		delete(c.formerWorkers, id)
		c.continueLineage(w, f)
	}
	c.dropPastSettled(w, now)
	c.workers[id] = w
	c.holdsDue.add(now, w)
	return w
}

// formerWorker is what is remembered of a worker that was removed, in case that it registers again.
type formerWorker struct {
	startedMs          int64
	startedMsConfirmed bool
	pastStartsMs       []int64
	token, pastToken   uint64
	removedAt          time.Time
}

// formerWorkersKept is how long removed workers are remembered: much longer than an order may be
// delayed. A worker that returns later refuses the tokens of this owner if they were raised for it, which
// ends the term.
const formerWorkersKept = 10 * time.Minute

// formerWorkersPruneInterval is the minimum time between two scans of all removed workers. Thousands may be
// removed at a time.
const formerWorkersPruneInterval = time.Minute

// rememberWorker remembers a worker that is removed.
func (c *Core) rememberWorker(w *worker, now time.Time) {
	if now.Sub(c.formerWorkersPrunedAt) > formerWorkersPruneInterval {
		c.formerWorkersPrunedAt = now
		maps.DeleteFunc(c.formerWorkers, func(_ WorkerID, f formerWorker) bool { return now.Sub(f.removedAt) > formerWorkersKept })
	}
	c.formerWorkers[w.Worker] = formerWorker{
		startedMs: w.StartedMs, startedMsConfirmed: w.startedMsConfirmed, pastStartsMs: w.pastStartsMs,
		token: w.token, pastToken: w.pastToken, removedAt: now,
	}
}

// continueLineage makes w, which was just added, the same incarnation as the former worker or the
// one after it.
func (c *Core) continueLineage(w *worker, f formerWorker) {
	w.pastStartsMs = f.pastStartsMs
	if w.StartedMs == 0 {
		w.StartedMs = f.startedMs
	}
	if w.StartedMs == f.startedMs || f.startedMs == 0 {
		w.token, w.pastToken = f.token, f.pastToken
		return
	}
	w.pastStartsMs = append(slices.Clone(f.pastStartsMs), f.startedMs)
	w.pastStartsMs = slices.DeleteFunc(w.pastStartsMs, func(past int64) bool { return past == w.StartedMs })
	w.pastStartsMs = w.pastStartsMs[max(0, len(w.pastStartsMs)-maxPastIncarnations):]
	w.token, w.pastToken = 0, max(f.token, f.pastToken)
	c.assignToken(w)
}

// assignToken gives the incarnation a fencing token above those of the worker's past incarnations. It
// reports false while none is reserved; then no order is sent to the incarnation.
func (c *Core) assignToken(w *worker) bool {
	c.highestToken = max(c.highestToken, w.pastToken+1)
	if w.token == 0 && w.pastToken < c.runs.lastTerm {
		w.token = w.pastToken + 1
	}
	return w.token != 0
}

// startIncarnation ends the known incarnation of a worker and begins a new one under the same ID.
// The runs have ended with the past incarnation, unless their start order reached the new one. They
// are kept until the first run list of the new one shows which is the case, so that their tasks do
// not start elsewhere until then.
func (c *Core) startIncarnation(old *worker, startedMs int64, proof string, now time.Time) *worker {
	c.logDecision(Decision{Event: "worker-restarted", Worker: old.Worker, Reason: fmt.Sprintf("%s; the past incarnation had %d runs, %s", proof, len(old.runs), old.describeOpenHold(now))})
	if !old.ended {
		old.ended = true
		c.scheduleAttribution(old, now)
	}
	c.removeWorker(old.Worker, now)
	w := c.newWorker(old.Worker, startedMs, now)
	w.Registration = old.Registration
	w.StartedMs, w.Draining = startedMs, false
	w.listDueAt = old.listDueAt
	c.workersByService.add(w)
	for _, r := range runsByNumber(old) {
		old.removeRun(r)
		r.moveToIncarnation(w, now)
	}
	c.markWorkerChanged(w)
	return w
}

// describeOpenHold describes for the log the hold that is under way to the worker or was not answered.
func (w *worker) describeOpenHold(now time.Time) string {
	if !w.holdInFlight && w.silentSince.IsZero() {
		return "and its holds were answered"
	}
	return fmt.Sprintf("and a hold sent %s ago was not answered, which acknowledges ends up to %d", now.Sub(w.holdSentAt).Round(time.Millisecond), w.holdAckThrough)
}

// moveToIncarnation assigns the run to the worker's next incarnation, whose run list will show
// whether it exists there.
func (r *run) moveToIncarnation(w *worker, now time.Time) {
	r.worker = w
	r.fromPastIncarnation = true
	r.listed = false
	w.addRun(r)
	if r.phase == starting {
		r.mayStartLate, r.startAbandonedAt = true, now
		r.mayStartUntil = now.Add(maxOrderDelay)
	}
}

// leaseExpiry returns the time by which all leases granted to a worker that does not answer have
// expired. An earlier owner may have granted a longer lease than this one. known is false if nothing is
// known of the worker's leases.
func (c *Core) leaseExpiry(w *worker) (at time.Time, known bool) {
	if w.lease.known {
		at = w.lease.expiry()
		if c.opt.Term > 1 {
			at = laterOf(at, c.earlierLeaseExpiry())
		}
	}
	if foreign, possible := c.foreignLeaseExpiry(w); possible {
		return laterOf(at, foreign), true
	}
	return at, w.lease.known
}

// foreignLeaseExpiry returns the time by which a lease has expired that an order for a past incarnation, or of
// an earlier owner, may have granted. No such order is executed after the incarnation's first answered order,
// whose fencing token is higher. possible is false if there is no such order.
func (c *Core) foreignLeaseExpiry(w *worker) (at time.Time, possible bool) {
	latestGrant := time.Time{}
	if len(w.pastStartsMs) > 0 {
		latestGrant = w.firstSeenAt.Add(maxOrderDelay)
	}
	if !c.wasSettled(w.incarnation()) {
		latestGrant = laterOf(latestGrant, c.latestEarlierOrder())
	}
	if latestGrant.IsZero() {
		return time.Time{}, false
	}
	if w.answeredThisOwner {
		latestGrant = w.firstAnsweredAt
	}
	return latestGrant.Add(c.longestWorkerLease()), true
}

// unlistedLeaseExpiry returns the time by which runs have ended that the worker has not listed. Their starts may
// have been accepted, or may still be, by a next incarnation that this owner has not heard of, and that any order
// with a lease end may have granted the longest lease.
func (c *Core) unlistedLeaseExpiry(w *worker) time.Time {
	if w.StartedMs == 0 {
		return time.Time{}
	}
	return w.lease.sentAt.Add(maxOrderDelay + c.longestWorkerLease())
}

// hasStartedHereOnly reports whether no incarnation of the run's worker but the one that this owner knows has
// started the run, or still may. A start without an answer may be executed there although another one was, too.
func (c *Core) hasStartedHereOnly(r *run, now time.Time) bool {
	return r.listed && (r.lostStartAt.IsZero() || now.After(r.lostStartAt.Add(maxOrderDelay+c.longestWorkerLease())))
}

// longestWorkerLease returns how long a lease can last, whatever the order that granted it says.
func (c *Core) longestWorkerLease() time.Duration {
	return time.Duration(float64(max(c.opt.MaxWorkerLease, c.opt.TaskLease))/(1-maxClockSlowdown)) + leaseMargin
}

// ackThrough returns the number up to which the next hold acknowledges run ends. If a new
// incarnation has begun unnoticed, it drops its own run ends up to that number unread. So it is 0 while the
// worker does not answer or may have a run that it has not listed, and once an acknowledgement was answered. A
// hold that acknowledges ends does not wait: a worker drops ends also when the wait is over, after the new
// incarnation's first order.
func (w *worker) ackThrough(now time.Time) uint64 {
	if !w.ackDue() || w.StartedMs != 0 && (!w.silentSince.IsZero() || !w.contactLoss.lostAt.IsZero() || w.hasUnlistedRun(now)) {
		return 0
	}
	return w.lastAckedEnd
}

// ackDue reports whether there are run ends to acknowledge.
func (w *worker) ackDue() bool { return w.lastAckedEnd > w.confirmedAckEnd }

// hasUnlistedRun reports whether the worker may have a run that it has not listed. A run that has ended beyond a
// truncated list of ends is none, as its start was executed before that list.
func (w *worker) hasUnlistedRun(now time.Time) bool {
	for _, r := range w.runs {
		if !r.listed && !(r.phase == ended && now.After(r.mayStartUntil)) {
			return true
		}
	}
	return false
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
