package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Times of the watch over workers.
const (
	// outage is a gap between lists of registrations that counts as an outage of
	// the store: three missed reads of 400 ms.
	outage = 1500 * time.Millisecond
	// settleTime is how long after an outage missing registrations may come
	// back: the platform's page says about 2 s.
	settleTime = 2200 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 150 * time.Millisecond
	// unlistedRetry is the same for a worker that the instance list does not show: most
	// are lives that are over, whose registrations last for some seconds. Asked as often
	// as the others they took half of a new owner's holds, 1,000 a second at 350 workers.
	unlistedRetry = 700 * time.Millisecond
	// ackWait is how long the next hold waits for the ends of the last one to be
	// recorded, before it looks again without acknowledging them.
	ackWait = 300 * time.Millisecond
	// strangerWait is how long a run of an unknown job is left alone. A job is
	// known within the delay of the store's watch, a second in its worst hour.
	strangerWait = 4 * time.Second
	// unhealthyPause is how long a worker that refuses work gets none.
	unhealthyPause = 500 * time.Millisecond
)

// Register takes the whole list of registrations.
func (c *Core) Register(list []Registration, now time.Time) {
	present := make(map[WorkerID]bool, len(list))
	for _, r := range list {
		present[r.Worker] = true
	}
	var gone []WorkerID
	for id := range c.workers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	c.RegisterChanges(list, gone, now)
}

// RegisterChanges takes what has changed among the registrations, if anything; what is
// known of the others is current.
func (c *Core) RegisterChanges(changed []Registration, gone []WorkerID, now time.Time) {
	if !c.listedAt.IsZero() && now.Sub(c.listedAt) > outage {
		c.settleAt = now.Add(settleTime)
		c.note(Decision{Event: "registrations-back", Reason: now.Sub(c.listedAt).String()})
	}
	c.listedAt = now
	for _, r := range changed {
		c.registerOne(r, now)
	}
	for _, id := range gone {
		if w := c.workers[id]; w != nil {
			c.missing(w, now)
		}
	}
	if !now.Before(c.settleAt) {
		c.unregisterMissing()
	}
	for service := range c.pools {
		c.changed[service] = true
	}
}

// missing takes note that the worker is not among the registrations.
func (c *Core) missing(w *worker, now time.Time) {
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	c.unlisted.put(w, w.registered)
}

// unregisterMissing counts workers that are missing as not registered: the store is not
// about to have them back.
func (c *Core) unregisterMissing() {
	for _, w := range c.unlisted.sorted() {
		w.registered = false
		c.unlisted.put(w, false)
		c.touchWorker(w)
		c.note(Decision{Event: "worker-unregistered", Worker: w.Worker})
	}
}

func (c *Core) registerOne(r Registration, now time.Time) {
	w := c.workers[r.Worker]
	if w == nil {
		w = &worker{
			runs:      map[job.TaskID]*run{},
			strangers: map[job.TaskID]stranger{},
			waiting:   map[uint64]waitingEnd{},
		}
		c.workers[r.Worker] = w
		c.holdsDue.add(now, w)
		c.note(Decision{Event: "worker-new", Worker: r.Worker, Reason: r.Service})
	}
	if r.Draining && !w.Draining {
		c.note(Decision{Event: "worker-draining", Worker: r.Worker})
	}
	known := w.registered && w.sameAs(&r)
	w.missingSince = time.Time{}
	c.unlisted.put(w, false)
	if known {
		return
	}
	if w.Service != "" { // not of a worker that is new
		c.roster.remove(w)
		c.changed[w.Service] = true
	}
	w.Registration = r
	w.registered = true
	c.roster.add(w)
	c.touchWorker(w)
	c.changed[r.Service] = true
}

// sameAs reports whether the registration says the same.
func (r *Registration) sameAs(o *Registration) bool {
	return r.Worker == o.Worker && r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Rack == o.Rack &&
		r.Room == o.Room && r.Draining == o.Draining && slices.Equal(r.Labels, o.Labels)
}

// forget removes a worker of which nothing is left to know.
func (c *Core) forget(id WorkerID) {
	w := c.workers[id]
	delete(c.workers, id)
	delete(c.silent, id)
	delete(c.over, id)
	delete(c.puzzling, id)
	delete(c.sharing, id)
	delete(c.unlisted, id)
	delete(c.maintaining, id)
	c.roster.remove(w)
	w.unindex()
	c.countOfWorker(w)
}

// target returns the address of an order to w.
func (c *Core) target(w *worker) Target {
	return Target{Worker: w.Worker, Addr: w.Addr, Token: c.token}
}

// holdAt says when the worker is to be held next.
func (c *Core) holdAt(w *worker, at time.Time) {
	w.nextHold = at
	c.holdsDue.add(at, w)
}

// holdDue sends the holds whose time has come.
func (c *Core) holdDue(now time.Time) {
	due := c.holdsDue.due(now)
	slices.SortFunc(due, byID)
	for _, w := range due {
		if w.holding || w.gone || now.Before(w.nextHold) || c.workers[w.Worker] != w {
			continue
		}
		wait := c.opt.HoldWait
		if len(w.runs) == 0 {
			wait = max(wait, c.opt.IdleHoldWait)
		}
		if !w.held || !w.silentSince.IsZero() || len(w.unacked) > 0 || w.inDoubt() {
			wait = 0
		}
		w.holding = true
		w.holdSent = now
		c.out.Holds = append(c.out.Holds, Hold{
			Target:      c.target(w),
			Until:       c.renewal(w, now),
			Acknowledge: w.acked,
			Wait:        wait,
		})
	}
}

// inDoubt reports whether the worker's list has to tell if a start without an answer
// began: the task stands still until it does.
func (w *worker) inDoubt() bool {
	for _, r := range w.runs {
		if r.phase == starting && !r.givenUp.IsZero() {
			return true
		}
	}
	return false
}

// renewal returns the end of the lease for an order to w. A silent worker's
// lease is not renewed: it has to end for its tasks to start elsewhere.
func (c *Core) renewal(w *worker, now time.Time) int64 {
	if w.silent() && !c.isStarved(now) {
		return w.lease.granted
	}
	return w.lease.grant(c.opt.TaskLease, now)
}

// silent reports whether the newest order to w, or its newest hold, went
// unanswered, and nothing was heard of it since.
func (w *worker) silent() bool { return !w.silentSince.IsZero() || w.suspect }

// heard takes note of an answer, or that there is none.
func (c *Core) heard(w *worker, a Answer, now time.Time) {
	c.touchWorker(w)
	if a.Outcome == Unanswered || a.Outcome == NotSent {
		return
	}
	w.lease.heard(a.Clock, now)
	w.heardAt = now
	w.suspect = false
	c.judgeAnswer(a.Took, now)
}

// unheard takes note of an order, sent at sent, that went unanswered.
func (c *Core) unheard(w *worker, sent time.Time) {
	if w.heardAt.Before(sent) {
		w.suspect = true
		c.touchWorker(w)
	}
}

// OnHeld takes a worker's answer to a hold.
func (c *Core) OnHeld(id WorkerID, h Held, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if w.gone {
		return // sent before the end of its life, and nothing of it runs any more
	}
	c.heard(w, h.Answer, now)
	switch h.Outcome {
	case Taken:
	case Fenced:
		c.fence(w)
		return
	case OtherBoot:
		c.lifeOver(w, "another life answers at its address", now)
		return
	case NotSent:
		c.holdAt(w, now.Add(holdRetry)) // which says nothing of the worker
		return
	default:
		if w.silentSince.IsZero() {
			w.silentSince = now
			c.silent.put(w, true)
			c.note(Decision{Event: "worker-silent", Worker: id, Reason: reasonOf(h.Answer)})
		}
		c.holdAt(w, now.Add(c.retryPause(w)))
		return
	}
	if !w.silentSince.IsZero() {
		c.note(Decision{Event: "worker-answers", Worker: id, Reason: now.Sub(w.silentSince).String()})
		w.silentSince = time.Time{}
		c.silent.put(w, false)
	}
	first := !w.held
	w.held = true
	w.answered = w.holdSent
	for _, e := range h.Ends {
		if e.Number > w.seen {
			w.seen = e.Number
			c.onEnd(w, e, now)
		}
	}
	c.onActive(w, h.Active, now)
	c.puzzling.put(w, len(w.strangers)+len(w.waiting) > 0)
	w.nextHold = now
	c.advanceAck(w, now)
	if len(w.unacked) > 0 {
		w.nextHold = now.Add(ackWait)
	}
	c.holdAt(w, w.nextHold)
	if first {
		c.note(Decision{Event: "worker-held", Worker: id, Reason: w.Service})
	}
	c.changed[w.Service] = true
}

// retryPause returns how long after a hold without an answer the next one is sent.
func (c *Core) retryPause(w *worker) time.Duration {
	if !c.instAt.IsZero() && !c.listed(w) {
		return unlistedRetry
	}
	return holdRetry
}

func reasonOf(a Answer) string {
	if a.Err != nil {
		return a.Outcome.String() + ": " + a.Err.Error()
	}
	return a.Outcome.String()
}

func (c *Core) fence(w *worker) {
	if c.fenced {
		return
	}
	c.fenced = true
	c.note(Decision{Event: "fenced", Worker: w.Worker, Reason: "a higher fencing token was seen there"})
}

// onActive compares what a worker runs with what it should run.
func (c *Core) onActive(w *worker, active []ActiveRun, now time.Time) {
	listed := map[job.TaskID]bool{}
	for _, a := range active {
		listed[a.Task] = true
		c.onActiveRun(w, a, now)
	}
	for id, r := range w.runs {
		if listed[id] {
			continue
		}
		if r.neverBegan(w.holdSent) {
			c.stop(r, "its start was not answered, and it does not run", now)
			continue
		}
		confirmed := r.phase != starting && !r.ackedAt.IsZero() && w.holdSent.After(r.ackedAt)
		if !confirmed {
			continue
		}
		c.release(r, CauseLost, now) // its end was listed before, or it never began
		if r.phase == running {
			c.counts.Lost++
			c.note(Decision{Event: "run-vanished", Job: id.Job, Task: id.String(), Worker: w.Worker, Run: r.number})
		}
	}
	for id := range w.strangers {
		if !listed[id] {
			delete(w.strangers, id)
		}
	}
}

func (c *Core) onActiveRun(w *worker, a ActiveRun, now time.Time) {
	r := w.runs[a.Task]
	if r != nil && r.number == a.Run {
		c.onProgress(r, a, now)
		return
	}
	j := c.jobs[a.Task.Job]
	if j == nil {
		if _, known := w.strangers[a.Task]; !known {
			w.strangers[a.Task] = stranger{a.Run, now}
		}
		return
	}
	if j.forgotten {
		c.stopUnexpected(w, a, "its job is over")
		return
	}
	c.adopt(w, j, a, now)
}

func (c *Core) onProgress(r *run, a ActiveRun, now time.Time) {
	r.lost = false
	if r.phase == starting {
		r.phase = running
		r.ackedAt = now
		r.movedAt = now
	}
	c.watchStall(r)
	c.noteBegun(r, now)
	if a.Percent != r.percent {
		r.percent = a.Percent
		r.movedAt = now
	}
	r.usage = a.Usage
	if a.Checkpoint != "" && r.task.step.spec.Checkpoints {
		r.task.checkpoint = a.Checkpoint // kept in the store only when the run ends
	}
}

// lifeOver handles the certain end of a worker's life: nothing runs there.
func (c *Core) lifeOver(w *worker, proof string, now time.Time) {
	if w.gone {
		return
	}
	w.gone = true
	c.over.put(w, true)
	c.maintaining.put(w, false)
	c.silent.put(w, false)
	c.touchWorker(w)
	c.note(Decision{Event: "worker-gone", Worker: w.Worker, Reason: proof})
	for _, r := range w.runs {
		c.counts.Lost++
		c.release(r, CauseLost, now)
	}
	for service := range c.pools {
		c.changed[service] = true // what waited for news of it may go on
	}
}

// expireLeases frees the runs of workers that are silent for longer than
// every lease that they were given. An owner that is short of processor time frees
// none: what was done there may be in answers that it has not read.
func (c *Core) expireLeases(now time.Time) {
	for id, w := range c.over {
		if !w.registered && !w.holding {
			c.forget(id)
		}
	}
	for _, w := range c.silent.sorted() {
		id := w.Worker
		if len(w.runs) > 0 && w.lease.over(now) && !c.isStarved(now) {
			c.note(Decision{Event: "leases-over", Worker: id, Reason: "silent for " + now.Sub(w.silentSince).String()})
			for _, r := range w.runs {
				c.counts.Lost++
				c.release(r, CauseLost, now)
			}
		}
		if !w.registered && len(w.runs) == 0 && !w.holding && now.Sub(w.silentSince) > c.opt.TaskLease*2 {
			c.forget(id) // it is known anew if it registers again
		}
	}
}
