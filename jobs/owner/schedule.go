package owner

import (
	"fmt"
	"slices"
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
	work     float64       // core-seconds that are left
	slack    time.Duration // until it would be late if all went by the estimates
	accepted time.Time
}

func (c *Core) claimOf(j *jobState, now time.Time) claim {
	cl := claim{job: j, band: bandInTime, priority: j.queue.Priority, work: j.leftWork, accepted: j.spec.AcceptedAt}
	cl.slack = j.deadline().Sub(now.Add(j.leftChain))
	switch {
	case j.spec.Steps[0].LongRunning:
		cl.band = bandLasting
	case cl.slack < 0:
		cl.band = bandLate
	}
	j.band = cl.band
	return cl
}

// OrderPolicy says which of the waiting jobs gets room first.
type OrderPolicy string

// The policies. All but OrderByWorth are baselines that measurements compare
// with. Long-running jobs come first in each.
const (
	OrderByWorth      OrderPolicy = "worth"              // in time before late, then priority, then least work
	OrderFirstInFirst OrderPolicy = "first-in-first-out" // by when they were accepted
	OrderShortest     OrderPolicy = "shortest"           // least remaining work
	OrderSlack        OrderPolicy = "slack"              // in time before late, then least time to spare
)

// before reports whether a comes before b.
func (a claim) before(b claim, policy OrderPolicy) bool {
	if (a.band == bandLasting) != (b.band == bandLasting) {
		return a.band == bandLasting
	}
	byBand := policy != OrderFirstInFirst && policy != OrderShortest
	if byBand && a.band != b.band {
		return a.band < b.band
	}
	if byBand && a.priority != b.priority {
		return a.priority < b.priority
	}
	switch {
	case policy == OrderFirstInFirst && !a.accepted.Equal(b.accepted):
		return a.accepted.Before(b.accepted)
	case policy == OrderSlack && a.slack != b.slack:
		return a.slack < b.slack
	case policy != OrderFirstInFirst && a.work != b.work:
		return a.work < b.work
	}
	return a.job.spec.ID < b.job.spec.ID
}

// Pauses between two placements of a service in which tasks wait for room: ends
// that come meanwhile share one.
const (
	// scheduleEvery is the least of them, a hundredth of what a small task takes.
	scheduleEvery = 5 * time.Millisecond
	// schedulePerJob is added for each job that waits. Looking at one costs about
	// 2 µs, so that a long queue takes a thirtieth of a core for each service.
	schedulePerJob = 60 * time.Microsecond
)

// schedule places waiting tasks of the services in which something changed.
func (c *Core) schedule(now time.Time) {
	if c.fenced || len(c.changed) == 0 {
		return
	}
	claims := map[string][]claim{}
	for service := range c.changed {
		if c.pool(service).placedLately(now) {
			continue
		}
		delete(c.changed, service)
		claims[service] = nil
	}
	if len(claims) == 0 {
		return
	}
	takenOver := c.takenOver(claims, now)
	for _, j := range c.open {
		list, due := claims[j.service]
		if !due || j.state.Final() || j.inherited && !takenOver[j.service] {
			continue
		}
		c.counts.Considered++
		if waits(j, now) {
			claims[j.service] = append(list, c.claimOf(j, now))
		}
	}
	for service, list := range claims {
		c.scheduleService(service, list, now)
	}
}

// takenOver tells of which of the services inherited jobs may be placed. The others'
// are not even looked at: with 1,400 of them and 350 workers that answer one by one,
// looking used up a new owner's processor for longer than leases last.
func (c *Core) takenOver(services map[string][]claim, now time.Time) map[string]bool {
	out := make(map[string]bool, len(services))
	for service := range services {
		out[service] = c.certain(service, now)
	}
	return out
}

// placedLately reports whether the service had its turn a moment ago, and tasks
// were left without room.
func (p *poolState) placedLately(now time.Time) bool {
	return p.waiting > 0 && now.Sub(p.placedAt) < scheduleEvery+time.Duration(p.jobs)*schedulePerJob
}

func (c *Core) scheduleService(service string, claims []claim, now time.Time) {
	pool := c.pool(service)
	pool.waiting, pool.late = 0, 0
	pool.placedAt = now
	pool.jobs = len(claims)
	defer pool.settle(now)
	if len(claims) == 0 {
		return
	}
	sort.Slice(claims, func(a, b int) bool { return claims[a].before(claims[b], c.opt.Order) })
	room := c.roomOf(service, now)
	for _, cl := range claims {
		for _, s := range cl.job.steps {
			if s.ready() {
				c.placeStep(s, room, pool, now)
			}
		}
	}
	if pool.waiting == 0 {
		c.placeLateCopies(claims, room, now)
	}
}

// waits reports whether the job has a task to place.
func waits(j *jobState, now time.Time) bool {
	for _, s := range j.steps {
		if !s.ready() {
			continue
		}
		if s.idle > 0 {
			return true
		}
		if s.spec.Speculative && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.wantsCopy(now) != noCopy }) {
			return true
		}
	}
	return false
}

func (t *task) waits(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
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
		Permits:       s.needsPermits(),
	}
}

func (c *Core) placeStep(s *stepState, room *roomView, pool *poolState, now time.Time) {
	req := requestOf(s)
	if s.spec.Gang {
		room.countOf(s, now)
		c.placeGang(s, req, room, pool, now)
		return
	}
	if s.spec.Speculative {
		defer c.placeCopies(s, urgentCopy, room, now)
	}
	counted := false
	for _, t := range s.tasks {
		if !t.waits(now) {
			continue
		}
		if room.full.Covers(&req) && !s.preemptedLately(now) {
			c.noRoom(s, &req, room, pool, now)
			return
		}
		if !counted {
			room.countOf(s, now)
			counted = true
		}
		i := placement.Choose(room.elsewhere(t), req)
		if i < 0 && t.awaitsOther(room, &req, now) {
			pool.wait(s, 1)
			t.note(CauseElsewhere, s.readySince(), now)
			continue
		}
		if i < 0 {
			i = placement.Choose(room.views, req)
		}
		if i < 0 {
			c.noRoom(s, &req, room, pool, now)
			return
		}
		placement.Take(&room.views[i], &req)
		c.start(t, room.workers[i], c.nextRun(), now)
		s.waitsSince = time.Time{}
	}
}

// noRoom takes note of a step of which no further task finds room.
func (c *Core) noRoom(s *stepState, req *placement.Request, room *roomView, pool *poolState, now time.Time) {
	possible := room.possible(req)
	if possible {
		pool.wait(s, countWaiting(s, now))
		room.full.Add(req)
		c.preempt(s, *req, room, now)
	}
	c.noteWaiting(s, room, possible)
	s.noteWaits(c.waitCause(s.job.service), now)
	if s.needsPermits() {
		c.ask(s, room, now)
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
		s.noteWaits(c.waitCause(s.job.service), now)
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
	r := &run{task: t, number: number, worker: w, phase: starting, throttle: 100, firstSent: now}
	t.addRun(r)
	c.pool(t.step.job.service).began(t.step.job)
	c.counts.Starts++
	c.sendStart(r, now)
}

// Tick does what is due by now: it ends leases, sends holds and retries,
// begins occurrences, and places tasks.
func (c *Core) Tick(now time.Time) {
	c.judgeSilence(now)
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
