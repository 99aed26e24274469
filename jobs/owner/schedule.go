package owner

import (
	"fmt"
	"sort"
	"time"

	"github.com/postmount/postmount/jobs/placement"
)

// band orders jobs before all else.
type band int

const (
	bandLasting band = iota // long-running: they serve users all the time
	bandInTime              // can still meet their objective
	bandLate
)

// claim is a job with tasks to place, and its place in the order.
type claim struct {
	job      *jobState
	band     band
	priority int
	work     float64 // least remaining work first
}

func (c *Core) claimOf(j *jobState, now time.Time) claim {
	cl := claim{job: j, band: bandInTime, priority: j.queue.Priority, work: j.remainingWork()}
	switch {
	case j.spec.Steps[0].LongRunning:
		cl.band = bandLasting
	case now.Add(j.remainingChain()).After(j.deadline()):
		cl.band = bandLate
	}
	return cl
}

func (a claim) before(b claim) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.work != b.work {
		return a.work < b.work
	}
	return a.job.spec.ID < b.job.spec.ID
}

// schedule places waiting tasks of the services in which something changed.
func (c *Core) schedule(now time.Time) {
	if c.fenced {
		return
	}
	for service := range c.changed {
		delete(c.changed, service)
		c.scheduleService(service, now)
	}
}

func (c *Core) scheduleService(service string, now time.Time) {
	var claims []claim
	for _, j := range c.open {
		if j.service == service && !j.state.Final() && waits(j, now) {
			claims = append(claims, c.claimOf(j, now))
		}
	}
	pool := c.pool(service)
	pool.waiting = 0
	defer pool.settle(now)
	if len(claims) == 0 {
		return
	}
	sort.Slice(claims, func(a, b int) bool { return claims[a].before(claims[b]) })
	known := c.certain(service, now)
	room := c.roomOf(service, now)
	for _, cl := range claims {
		if cl.job.inherited && !known {
			continue
		}
		for _, s := range cl.job.steps {
			if s.ready() {
				c.placeStep(s, room, pool, now)
			}
		}
	}
}

// waits reports whether the job has a task to place.
func waits(j *jobState, now time.Time) bool {
	for _, s := range j.steps {
		if !s.ready() {
			continue
		}
		for _, t := range s.tasks {
			if t.waits(now) || t.wantsCopy(now) {
				return true
			}
		}
	}
	return false
}

func (t *task) waits(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
}

// Figures of copies of speculative tasks.
const (
	// copyAfter is how many times its estimate a task may take, and copySlack how
	// much more, before a copy is started: estimates are off by half and more.
	copyAfter = 2.5
	copySlack = 400 * time.Millisecond
	// maxCopies of one task run at the same time.
	maxCopies = 2
)

// wantsCopy reports whether a speculative task lags so that a copy may be
// sooner: its worker is silent, or it takes much longer than estimated.
func (t *task) wantsCopy(now time.Time) bool {
	spec := t.step.spec
	if t.done || !spec.Speculative || spec.LongRunning || len(t.runs) == 0 || len(t.runs) >= maxCopies {
		return false
	}
	r := t.runs[0]
	if r.phase == stopping || r.worker.silent() {
		return true
	}
	late := time.Duration(copyAfter*float64(spec.Estimate)) + copySlack
	return r.phase == running && now.Sub(r.ackedAt) > late
}

// placeCopies starts copies of lagging tasks where there is room that no other
// task of the step waits for.
func (c *Core) placeCopies(s *stepState, req placement.Request, room *roomView, now time.Time) {
	for _, t := range s.tasks {
		if !t.wantsCopy(now) {
			continue
		}
		i := placement.Choose(room.without(t.runs[0].worker), req)
		if i < 0 {
			continue
		}
		placement.Take(&room.views[i], &req)
		c.note(Decision{Event: "copy-started", Job: s.job.spec.ID, Task: t.id().String(), Worker: room.workers[i].Worker, Reason: "its run on " + string(t.runs[0].worker.Worker) + " lags"})
		c.start(t, room.workers[i], c.nextRun(), now)
	}
}

// without returns the views with one worker barred.
func (v *roomView) without(w *worker) []placement.Worker {
	out := append([]placement.Worker(nil), v.views...)
	for i, o := range v.workers {
		if o == w {
			out[i].Barred = true
		}
	}
	return out
}

// roomView is the workers of a service as placement sees them.
type roomView struct {
	workers []*worker
	views   []placement.Worker
}

func (c *Core) roomOf(service string, now time.Time) *roomView {
	v := &roomView{}
	for _, w := range c.workers {
		if w.Service == service && w.usable(now) {
			v.workers = append(v.workers, w)
		}
	}
	sort.Slice(v.workers, func(a, b int) bool { return v.workers[a].Worker < v.workers[b].Worker })
	for _, w := range v.workers {
		pw := placement.Worker{Room: w.Room, Free: w.free(), Rack: w.Rack, Labels: w.Labels}
		if failed, _ := w.ends.count(now); failed > 0 {
			pw.Suspect = failed >= failuresToAvoid
		}
		for _, r := range w.runs {
			if r.task.step.spec.Filler {
				pw.Fillers++
			}
			if r.task.step.spec.LatencyTarget > 0 {
				pw.Serving++
			}
			if r.task.step.spec.LongRunning {
				pw.Lasting++
			}
		}
		v.views = append(v.views, pw)
	}
	return v
}

// possible reports whether any worker of the service could take the request if
// it were empty.
func (v *roomView) possible(req *placement.Request) bool {
	for i := range v.views {
		if placement.Possible(&v.views[i], req) {
			return true
		}
	}
	return len(v.views) == 0
}

// countOf sets how many tasks of the step run on each worker, and bars those
// that it may not run on.
func (v *roomView) countOf(s *stepState, now time.Time) {
	for i, w := range v.workers {
		v.views[i].Mine = 0
		v.views[i].Barred = s.needsPermits() && !s.permitted(w, now)
		for _, r := range w.runs {
			if r.task.step == s {
				v.views[i].Mine++
			}
		}
	}
}

func requestOf(s *stepState) placement.Request {
	return placement.Request{
		Need:          s.spec.Occupies(),
		Filler:        s.spec.Filler,
		Serving:       s.spec.LatencyTarget > 0,
		RequiredLabel: s.spec.RequiredLabel,
		PreferredRack: s.spec.PreferredRack,
		MaxPerWorker:  s.spec.MaxPerWorker,
		Lasting:       s.spec.LongRunning,
		Spread:        s.spec.MayMiss,
	}
}

func (c *Core) placeStep(s *stepState, room *roomView, pool *poolState, now time.Time) {
	req := requestOf(s)
	room.countOf(s, now)
	if s.spec.Gang {
		c.placeGang(s, req, room, pool, now)
		return
	}
	if s.spec.Speculative {
		defer c.placeCopies(s, req, room, now)
	}
	for _, t := range s.tasks {
		if !t.waits(now) {
			continue
		}
		i := placement.Choose(room.views, req)
		if i < 0 {
			possible := room.possible(&req)
			if possible {
				pool.wait(s, countWaiting(s, now))
			}
			c.noteWaiting(s, room, possible)
			if s.needsPermits() {
				c.ask(s, room, now)
			}
			return
		}
		placement.Take(&room.views[i], &req)
		c.start(t, room.workers[i], c.nextRun(), now)
	}
}

// noteWaiting says once for each job why a task of it was not placed.
func (c *Core) noteWaiting(s *stepState, room *roomView, possible bool) {
	j := s.job
	if j.waitNoted {
		return
	}
	j.waitNoted = true
	why := "no room"
	if !possible {
		why = "no worker can ever take it"
	}
	need := s.spec.Occupies()
	c.note(Decision{Event: "job-waits", Job: j.spec.ID, Reason: fmt.Sprintf("%s: step %d needs %d thousandths of a core and %d MB, %d workers are usable",
		why, s.index, need.CPUMilli, need.MemMB, len(room.workers))})
}

func countWaiting(s *stepState, now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.waits(now) {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang under one run number, or none.
func (c *Core) placeGang(s *stepState, req placement.Request, room *roomView, pool *poolState, now time.Time) {
	for _, t := range s.tasks {
		if !t.waits(now) {
			return
		}
	}
	chosen := placement.ChooseGang(room.views, req, len(s.tasks), s.spec.SameRack)
	if chosen == nil {
		pool.wait(s, len(s.tasks))
		if s.needsPermits() {
			c.ask(s, room, now)
		}
		return
	}
	number := c.nextRun()
	for n, i := range chosen {
		placement.Take(&room.views[i], &req)
		c.start(s.tasks[n], room.workers[i], number, now)
	}
}

func (c *Core) nextRun() uint64 {
	c.lastRun++
	return c.lastRun
}

func (c *Core) start(t *task, w *worker, number uint64, now time.Time) {
	r := &run{task: t, number: number, worker: w, phase: starting, throttle: 100}
	t.runs = append(t.runs, r)
	w.runs[t.id()] = r
	if j := t.step.job; !j.begun {
		j.begun = true
		c.note(Decision{Event: "job-started", Job: j.spec.ID, Task: t.id().String(), Worker: w.Worker, Run: number,
			Reason: "accepted " + now.Sub(j.spec.AcceptedAt).Round(time.Millisecond).String() + " ago"})
	}
	c.counts.Starts++
	c.sendStart(r, now)
}

// Tick does what is due by now: it ends leases, sends holds and retries,
// begins occurrences, and places tasks.
func (c *Core) Tick(now time.Time) {
	c.expireLeases(now)
	c.expireStrangers(now)
	c.expireEarly(now)
	c.resendStops(now)
	c.endStalls(now)
	c.holdDue(now)
	for _, j := range c.open {
		if j.nextOcc < j.spec.Occurrences() && !j.state.Final() {
			c.beginDue(j, now)
		}
	}
	c.pace(now)
	c.maintain(now)
	c.size(now)
	c.recheck(now)
	c.schedule(now)
}

// recheck looks again at services whose waiting tasks may go on because time
// has passed.
func (c *Core) recheck(now time.Time) {
	for _, j := range c.open {
		if !j.state.Final() && waits(j, now) {
			c.changed[j.service] = true
		}
	}
}

// React sends what an event made possible, without waiting for the next tick.
func (c *Core) React(now time.Time) {
	c.holdDue(now)
	c.schedule(now)
}
