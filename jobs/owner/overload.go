package owner

import (
	"fmt"
	"time"
)

// Parameters for detecting that the owner is starved: short of CPU or of bandwidth to the workers.
const (
	// starvedTimerDelay is the delay of the owner's own timer from which its timeouts say nothing
	// about the workers: a third of the time that it waits for the answer to a hold.
	starvedTimerDelay = 300 * time.Millisecond
	// starvedPeriod is how long the owner counts as starved after each sign of it: the time that
	// a hold and its answer take.
	starvedPeriod = 1500 * time.Millisecond
	// maxSilentShare is the share of workers up to which silence at the same time is attributed
	// to the workers. Network partitions and crashes affect a quarter of them at most, while an
	// overloaded owner reads the answers of only 3 to 40 of 100. The silence of up to
	// maxSilentWorkers workers, the size of a small rack, is always attributed to them.
	maxSilentShare   = 0.5
	maxSilentWorkers = 4
	// slowAnswerLatency is the mean answer latency from which the owner's own link to the
	// workers counts as saturated. Orders normally take 4 ms, and time out after OrderTimeout.
	slowAnswerLatency = 150 * time.Millisecond
	// latencyDecay is the weight of the previous mean at each answer: about the last twenty
	// answers count.
	latencyDecay = 0.95
	// maxOverload is how long silence of most workers is attributed to the owner. After that they
	// count as partitioned. It is the length of four leases: if another daemon can replace this
	// owner, it has done so by then.
	maxOverload = 20 * time.Second
)

// ReportTimerDelay reports by how much the owner's timer was late.
func (c *Core) ReportTimerDelay(d time.Duration, now time.Time) {
	if d >= starvedTimerDelay {
		c.markStarved("owner-delayed", "timer late by "+d.Round(time.Millisecond).String(), now)
	}
}

// ReportSuspension reports that the owner's instance was suspended for d, which the times passed
// to Core do not include. All received data is older by d than it seems, and workers that seem
// silent may have answered. It was not suspended before lastChecked. A worker's clock that was read
// since then may have been read after the suspension: it is left as it is, so that no
// lease is granted for longer than ordered.
func (c *Core) ReportSuspension(d time.Duration, lastChecked, now time.Time) {
	c.markStarved("owner-suspended", "suspended for "+d.Round(time.Millisecond).String(), now)
	if !c.instanceListAt.IsZero() {
		c.instanceListAt = c.instanceListAt.Add(-d)
	}
	if !c.registrationsAt.IsZero() {
		c.registrationsAt = c.registrationsAt.Add(-d)
	}
	for _, w := range c.workers {
		w.answeredHoldSentAt = w.answeredHoldSentAt.Add(-d)
		if w.lease.clockReadAt.Before(lastChecked) {
			w.lease.clockReadAt = w.lease.clockReadAt.Add(-d)
		}
	}
}

// detectOverload marks the owner as starved if most workers seem silent at the same time: the
// cause is then the owner, even if its timer is not late. It does so only while this daemon
// holds the store lease, so that no other daemon can be the owner, and for at most maxOverload,
// as the tasks of workers that really are partitioned have to start elsewhere.
func (c *Core) detectOverload(now time.Time) {
	if len(c.silentWorkers) <= maxSilentWorkers {
		c.mostSilentSince = time.Time{}
		return
	}
	total, silent := 0, 0
	for _, w := range c.workers {
		if w.ended || !w.registered || w.endOrdered || w.reserved == reservedMove || !c.isOnInstanceList(w) {
			continue // the incarnation has ended, or ends by an order
		}
		total++
		if !w.silentSince.IsZero() {
			silent++
		}
	}
	if silent <= maxSilentWorkers || float64(silent) <= maxSilentShare*float64(total) {
		c.mostSilentSince = time.Time{}
		return
	}
	if c.mostSilentSince.IsZero() {
		c.mostSilentSince = now
	}
	if now.Sub(c.mostSilentSince) <= maxOverload && c.storeLeaseLostAt.IsZero() {
		c.markStarved("owner-overloaded", fmt.Sprintf("%d of %d workers seem silent", silent, total), now)
	}
}

// trackAnswerLatency updates the mean answer latency and adapts the start window to it. It marks
// the owner as starved while the mean shows that its link to the workers is saturated, since
// workers that seem silent may then have answered. The same limits as in detectOverload apply.
func (c *Core) trackAnswerLatency(latency time.Duration, now time.Time) {
	if latency == 0 {
		return
	}
	c.meanAnswerLatency = time.Duration(latencyDecay*float64(c.meanAnswerLatency) + (1-latencyDecay)*float64(latency))
	c.startWindow.adjust(c.meanAnswerLatency, now)
	if c.meanAnswerLatency < slowAnswerLatency {
		c.slowAnswersSince = time.Time{}
		return
	}
	if c.slowAnswersSince.IsZero() {
		c.slowAnswersSince = now
	}
	if now.Sub(c.slowAnswersSince) <= maxOverload && c.storeLeaseLostAt.IsZero() {
		c.markStarved("owner-link-full", "answers take "+c.meanAnswerLatency.Round(time.Millisecond).String(), now)
	}
}

// markStarved marks the owner as starved for starvedPeriod. Meanwhile it also renews the leases
// of workers that seem silent: their answers may wait to be read, and their tasks would be
// stopped if the leases expired.
func (c *Core) markStarved(event, reason string, now time.Time) {
	if !c.isStarved(now) {
		c.starvedSince = now
		c.logDecision(Decision{Event: event, Reason: reason})
	}
	c.starvedUntil = now.Add(starvedPeriod)
}

// isStarved reports whether the owner is short of CPU or bandwidth, so that missing answers say
// nothing about the workers.
func (c *Core) isStarved(now time.Time) bool { return now.Before(c.starvedUntil) }

// StarvedFor returns how long the owner has been starved without interruption.
func (c *Core) StarvedFor(now time.Time) time.Duration {
	if !c.isStarved(now) {
		return 0
	}
	return now.Sub(c.starvedSince)
}
