package once

import (
	"slices"
	"time"
)

// bound keeps the table within its limits. An answer goes before a claim. A
// claim that goes raises the time since which the table is complete, so that
// its key is refused and never run again.
func (t *Table) bound() {
	for t.bytes > t.opts.MaxAnswerBytes && len(t.finished) > 0 {
		t.dropAnswer(t.finished[0])
		t.finished = t.finished[1:]
	}
	if t.count > t.opts.MaxClaims {
		t.dropOldest(t.opts.MaxClaims / 10)
	}
}

func (t *Table) dropAnswer(k Key) {
	p := t.parts[k.Partition()]
	if p == nil {
		return
	}
	if c := p.claims[k]; c != nil && c.Answer != nil {
		t.bytes -= c.Answer.size()
		c.Answer = nil
		t.DroppedAns++
	}
}

func (t *Table) dropOldest(n int) {
	var keys []Key
	for _, p := range t.parts {
		for k := range p.claims {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return a.Time().Compare(b.Time()) })
	for _, k := range keys[:min(n, len(keys))] {
		p := t.parts[k.Partition()]
		t.forget(p.claims[k])
		delete(p.claims, k)
		if after := k.Time().Add(time.Millisecond); after.After(p.since) {
			p.since = after
		}
		t.Forgotten++
	}
}

// Tick gives up on tables that were awaited long enough, and drops the claims
// whose keys can no longer be used.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.parts {
		t.ready(now, p)
		for k, c := range p.claims {
			if now.Sub(k.Time()) > t.opts.Retention+t.opts.MaxSkew {
				t.forget(c)
				delete(p.claims, k)
			}
		}
	}
	t.finished = slices.DeleteFunc(t.finished, func(k Key) bool {
		p := t.parts[k.Partition()]
		return p == nil || p.claims[k] == nil
	})
}

// Size returns the number of claims and the bytes of retained answers.
func (t *Table) Size() (claims, answerBytes int) { return t.count, t.bytes }
