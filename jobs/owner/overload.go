package owner

import (
	"fmt"
	"time"
)

// Figures of an owner that is short of processor time.
const (
	// starvedDelay is the delay of the owner's own timer from which on its timeouts
	// say nothing about workers: a third of what it waits for a hold.
	starvedDelay = 300 * time.Millisecond
	// starvedMemory is how long that is remembered: a hold, and its answer.
	starvedMemory = 1500 * time.Millisecond
	// maxSilentShare of the workers do not fall silent at once: cuts and crashes strike
	// a quarter of them at most, while an owner that cannot keep up hears 3 to 40 of
	// 100. maxSilent of them may, being a small rack.
	maxSilentShare = 0.5
	maxSilent      = 4
	// slowAnswerLatency is the mean time of answers from which on the owner's own way to the
	// workers is full: orders take 4 ms, and are given up after OrderTimeout. answersKept
	// is the share that each answer leaves of the mean: the last twenty or so count.
	slowAnswerLatency = 150 * time.Millisecond
	latencySmoothing  = 0.95
	// maxOverload is how long most workers may stay silent before they count as cut off
	// after all: four leases, in which an owner that can be relieved has been.
	maxOverload = 20 * time.Second
)

// ReportTimerDelay tells by how much the owner's timer was late.
func (c *Core) ReportTimerDelay(d time.Duration, now time.Time) {
	if d >= starvedDelay {
		c.markStarved("owner-delayed", d.Round(time.Millisecond).String(), now)
	}
}

// ReportSuspension tells that the owner's instance was suspended for d, which the time of its events
// does not count: what was heard is as much older, and whoever seems silent may have answered.
func (c *Core) ReportSuspension(d time.Duration, now time.Time) {
	c.markStarved("owner-suspended", d.Round(time.Millisecond).String(), now)
	if !c.instanceListAt.IsZero() {
		c.instanceListAt = c.instanceListAt.Add(-d)
	}
	if !c.registrationsAt.IsZero() {
		c.registrationsAt = c.registrationsAt.Add(-d)
	}
	for _, w := range c.workers {
		w.answeredHoldSentAt = w.answeredHoldSentAt.Add(-d)
		w.lease.clockReadAt = w.lease.clockReadAt.Add(-d)
	}
}

// detectOverload tells whether silence is the workers' or the owner's own doing: if most of them
// seem silent at once, it is the owner, whose timer need not be late for that. It may
// hold on to what runs only while no other daemon can be the owner, and not for ever:
// what ran on workers that are cut off has to start elsewhere.
func (c *Core) detectOverload(now time.Time) {
	if len(c.silentWorkers) <= maxSilent {
		c.mostSilentSince = time.Time{}
		return
	}
	total, silent := 0, 0
	for _, w := range c.workers {
		if w.ended || !w.registered || w.endOrdered || w.reserved == reservedMove || !c.listed(w) {
			continue // its life is over, or ends by an order
		}
		total++
		if !w.silentSince.IsZero() {
			silent++
		}
	}
	if silent <= maxSilent || float64(silent) <= maxSilentShare*float64(total) {
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

// trackAnswerLatency tells by how long answers take whether the owner's link is full. Workers
// that seem silent meanwhile may have answered; it holds on to what runs there as long as
// judgeSilence does.
func (c *Core) trackAnswerLatency(took time.Duration, now time.Time) {
	if took == 0 {
		return
	}
	c.meanAnswerLatency = time.Duration(latencySmoothing*float64(c.meanAnswerLatency) + (1-latencySmoothing)*float64(took))
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

// markStarved takes note that the owner is short of processor time. The leases of workers
// that seem silent are renewed all the same for a while: their answers may wait to be
// read, and a lease that is left to end stops their tasks.
func (c *Core) markStarved(event, why string, now time.Time) {
	if !c.isStarved(now) {
		c.starvedSince = now
		c.note(Decision{Event: event, Reason: why})
	}
	c.starvedUntil = now.Add(starvedMemory)
}

func (c *Core) isStarved(now time.Time) bool { return now.Before(c.starvedUntil) }

// StarvedFor returns how long the owner has been short of processor time on end.
func (c *Core) StarvedFor(now time.Time) time.Duration {
	if !c.isStarved(now) {
		return 0
	}
	return now.Sub(c.starvedSince)
}
