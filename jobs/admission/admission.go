// Package admission decides whether a new job is accepted, from what its pool can carry. A decision
// depends only on what the controller was told and on its arguments.
package admission

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Policy selects which jobs are refused.
type Policy string

// The policies. All but Late are baselines for measurements. Each refuses also what the one before
// it refuses.
const (
	Never       Policy = "never"        // nothing
	Impossible  Policy = "impossible"   // jobs that no instance could ever run
	StartOrders Policy = "start-orders" // jobs that would be late because start orders wait to be sent
	Late        Policy = "late"         // jobs that would be late because their pool is full
)

// RefusesImpossible reports whether jobs are refused that no instance could ever run.
func (p Policy) RefusesImpossible() bool { return p == Impossible || p.RefusesByStartOrders() }

// RefusesByStartOrders reports whether jobs are refused because start orders wait to be sent.
func (p Policy) RefusesByStartOrders() bool { return p == StartOrders || p.RefusesByPool() }

// RefusesByPool reports whether jobs are refused because their pool is full.
func (p Policy) RefusesByPool() bool { return p == Late }

// Reason says why a job was refused.
type Reason string

// The reasons.
const (
	NotRefused     Reason = ""
	NoInstanceFits Reason = "no-instance-fits" // not even an empty instance can run one of its tasks
	OrdersWait     Reason = "orders-wait"      // start orders wait to be sent by the owner
	PoolFull       Reason = "pool-full"        // its pool would start it too late
	OwnerFull      Reason = "owner-full"       // the open jobs of its queue and tenant take all memory that is left to them
	TooLarge       Reason = "too-large"        // it takes more memory than a job may take
)

// Decision is whether a job is accepted.
type Decision struct {
	Reason     Reason        // NotRefused: the job is accepted
	StartIn    time.Duration // when the job would start, from now; only with OrdersWait and PoolFull
	LateBy     time.Duration // by how much it would be late; likewise
	RetryAfter time.Duration // when it should be submitted again; 0: never
}

// IsFinal reports whether the job will be refused whenever it is submitted.
func (d *Decision) IsFinal() bool { return d.Reason == NoInstanceFits || d.Reason == TooLarge }

// Job is a job that asks to be accepted.
type Job struct {
	ID   string
	Rank Rank
	Work float64 // core-seconds
	// Cores is what the tasks need that start first.
	Cores float64
	// Slack is how long the start can wait such that the job meets its objective, which counts from
	// its first submission.
	Slack time.Duration
}

// Thresholds of congestion, as the time that the pool needs to start all work that waits for it. A
// pool whose instances are on their way at the start of a turn stays below the first one.
const (
	congestedFrom  = 3000 * time.Millisecond
	congestedUntil = 500 * time.Millisecond
	// overloadedFrom replaces congestedFrom once more work has arrived for overloadedFor than the
	// pool can start with all instances on their way. At the start of a turn this lasts until their
	// moves are ordered.
	overloadedFrom = time.Second
	overloadedFor  = 1000 * time.Millisecond
)

// Controller decides on the jobs of one pool. Its zero value refuses nothing until the first Update.
type Controller struct {
	supply          Supply
	queue           Queue
	updatedAt       time.Time
	congested       bool
	overloadedSince time.Time // zero: the pool is not overloaded
	accepted        []Waiting // since the last Update
	refusals        map[string]*refusal
	promisedWork    float64 // of the jobs whose promised return is still to come, in core-seconds
}

// refusal is a job that was refused.
type refusal struct {
	firstAttempt time.Time
	latestStart  time.Time // to meet its objective
	returnAt     time.Time // promised return
	promisedWork float64   // part of Controller.promisedWork; 0: it has returned, or that time has passed
	cores        float64
	band         int
	settled      bool // accepted since, or counted as needless
}

// maxRetryAfter limits Retry-After: promises for a later time say nothing, as most callers have
// given up until then.
const maxRetryAfter = 8 * time.Second

// refusalRetention is how long a refused job is remembered, counted from its first attempt. Callers
// return for three seconds.
const refusalRetention = 10 * time.Second

// Update passes a snapshot of the pool.
func (c *Controller) Update(s Supply, q Queue, now time.Time) {
	c.supply, c.queue, c.updatedAt, c.accepted = s, q, now, nil
	c.removeExpired(now)
	from := congestedFrom
	switch {
	case !s.isOverloaded():
		c.overloadedSince = time.Time{}
	case c.overloadedSince.IsZero():
		c.overloadedSince = now
	case now.Sub(c.overloadedSince) >= overloadedFor:
		from = overloadedFrom
	}
	drain := s.WaitFor(q.total())
	c.congested = drain > from || c.congested && drain > congestedUntil
}

// Reset forgets the snapshot: nothing is refused until the next Update.
func (c *Controller) Reset() {
	c.congested, c.overloadedSince, c.queue, c.accepted = false, time.Time{}, Queue{}, nil
}

// IsCongested reports whether jobs may be refused.
func (c *Controller) IsCongested() bool { return c.congested }

// HasRefusals reports whether jobs were refused that may return.
func (c *Controller) HasRefusals() bool { return len(c.refusals) > 0 }

// WasRefused reports whether the job was refused before.
func (c *Controller) WasRefused(id string) bool { return c.refusals[id] != nil }

// SettleRefusal notes that the job was accepted, and reports whether it was refused before.
func (c *Controller) SettleRefusal(id string) bool {
	r := c.refusals[id]
	if r == nil {
		return false
	}
	c.dropPromise(r)
	r.settled = true
	return true
}

// FirstAttempt returns when the job was first refused, now if it was not.
func (c *Controller) FirstAttempt(id string, now time.Time) time.Time {
	if r := c.refusals[id]; r != nil {
		return r.firstAttempt
	}
	return now
}

// Decide decides whether to accept the job.
func (c *Controller) Decide(j Job, now time.Time) Decision {
	if !c.congested {
		return Decision{}
	}
	if r := c.refusals[j.ID]; r != nil {
		c.dropPromise(r)
	}
	wait := c.waitOf(j, now, 0)
	if wait <= j.Slack {
		c.accept(j)
		return Decision{}
	}
	lateBy := wait - j.Slack
	// The returns promised before are in line when this one comes.
	retryIn := min(maxRetryAfter, max(lateBy, c.waitOf(j, now, c.promisedWork)-j.Slack))
	d := Decision{Reason: PoolFull, StartIn: wait, LateBy: lateBy, RetryAfter: spread(j.ID, retryIn)}
	c.refuse(j, d.RetryAfter, now)
	return d
}

// waitOf returns after which time the pool would start the job, with additional work before it.
func (c *Controller) waitOf(j Job, now time.Time, additional float64) time.Duration {
	ahead := c.queue.ahead(j.Rank) + additional
	for _, w := range c.accepted {
		if !j.Rank.less(w.Rank) {
			ahead += w.Work
		}
	}
	return max(0, c.supply.WaitFor(ahead)-now.Sub(c.updatedAt))
}

func (c *Controller) accept(j Job) {
	c.accepted = append(c.accepted, Waiting{Rank: j.Rank, Work: j.Work})
	c.SettleRefusal(j.ID)
}

// refuse remembers the job and its promised return.
func (c *Controller) refuse(j Job, retryAfter time.Duration, now time.Time) {
	if c.refusals == nil {
		c.refusals = map[string]*refusal{}
	}
	c.refusals[j.ID] = &refusal{
		firstAttempt: c.FirstAttempt(j.ID, now), latestStart: now.Add(j.Slack),
		returnAt: now.Add(retryAfter), promisedWork: j.Work, cores: j.Cores, band: j.Rank.Band,
	}
	c.promisedWork += j.Work
}

// dropPromise removes a promised return that has come, or whose time has passed.
func (c *Controller) dropPromise(r *refusal) {
	c.promisedWork -= r.promisedWork
	r.promisedWork = 0
}

func (c *Controller) removeExpired(now time.Time) {
	for id, r := range c.refusals {
		if !r.returnAt.After(now) {
			c.dropPromise(r)
		}
		if now.Sub(r.firstAttempt) > refusalRetention {
			c.dropPromise(r)
			delete(c.refusals, id)
		}
	}
}

// CountNeedless counts the refused jobs that were not accepted since and for which the pool has room
// by their latest start, and returns their number. firstWaiting is the lowest band in which tasks
// wait: free cores and those on which tasks end would have been used by refused jobs of lower bands.
func (c *Controller) CountNeedless(s Supply, firstWaiting int, now time.Time) int64 {
	var n int64
	taken := 0.0
	for _, id := range slices.Sorted(maps.Keys(c.refusals)) {
		r := c.refusals[id]
		if r.settled || r.band >= firstWaiting || now.After(r.latestStart) || taken+r.cores > s.freeWithin(r.latestStart.Sub(now)) {
			continue
		}
		taken += r.cores
		r.settled = true
		n++
	}
	return n
}

// maxSpread is the largest share by which a return is delayed, so that jobs that were refused at
// the same time do not return at the same time.
const maxSpread = 0.25

// spread returns d and up to maxSpread more, by a hash of the job's ID.
func spread(id string, d time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	return d + time.Duration(maxSpread*float64(d)*float64(h.Sum32())/(1<<32))
}
