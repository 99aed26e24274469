package idempotency

import (
	"slices"
	"time"
)

// enforceLimits drops the oldest answers above MaxAnswerBytes and the oldest
// claims above MaxClaims. Dropping a claim raises completeSince, so that its key is
// refused and never granted again.
func (t *Table) enforceLimits() {
	for t.answerBytes > t.opts.MaxAnswerBytes && len(t.answeredKeys) > 0 {
		t.dropAnswer(t.answeredKeys[0])
		t.answeredKeys = t.answeredKeys[1:]
	}
	if t.claimCount > t.opts.MaxClaims {
		// A tenth of the limit is dropped at a time, because dropOldestClaims sorts
		// all claims.
		t.dropOldestClaims(t.opts.MaxClaims / 10)
	}
}

// dropAnswer drops the answer of a claim but keeps the claim.
func (t *Table) dropAnswer(k Key) {
	p := t.partitions[k.Partition()]
	if p == nil {
		return
	}
	if c := p.claims[k]; c != nil && c.Answer != nil {
		t.answerBytes -= c.Answer.size()
		c.Answer = nil
		t.DroppedAnswers++
	}
}

// dropOldestClaims drops the n claims with the oldest keys.
func (t *Table) dropOldestClaims(n int) {
	var keys []Key
	for _, p := range t.partitions {
		for k := range p.claims {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return a.Time().Compare(b.Time()) })
	for _, k := range keys[:min(n, len(keys))] {
		p := t.partitions[k.Partition()]
		t.uncount(p.claims[k])
		delete(p.claims, k)
		if after := k.Time().Add(time.Millisecond); after.After(p.completeSince) {
			p.completeSince = after
		}
		t.DroppedClaims++
	}
}

// Tick stops waiting for previous owners' tables once HandoverWait has passed, and
// drops the claims whose keys have expired. It is called periodically.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.partitions {
		t.updateReady(now, p)
		for k, c := range p.claims {
			if now.Sub(k.Time()) > t.opts.Retention+t.opts.MaxSkew {
				t.uncount(c)
				delete(p.claims, k)
			}
		}
	}
	t.answeredKeys = slices.DeleteFunc(t.answeredKeys, func(k Key) bool {
		p := t.partitions[k.Partition()]
		return p == nil || p.claims[k] == nil
	})
}

// Size returns the number of claims and the size of all retained answers.
func (t *Table) Size() (claims, answerBytes int) { return t.claimCount, t.answerBytes }
