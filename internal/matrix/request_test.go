package matrix

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/verdict"
)

// cell is one fault at one step.
type cell struct {
	in       *installation
	receiver *daemon
	owner    *daemon
	other    *daemon // through which the request is sent again
	hangUp   context.CancelFunc
}

// fault is one way in which things go wrong.
type fault struct {
	name string
	hit  func(c *cell)
	// slow tells that a reply may come late, because its daemon was paused.
	slow bool
}

const faultLength = 5 * time.Second

func faults() []fault {
	heal := func(c *cell, fn func()) { c.in.later(faultLength, fn) }
	return []fault{
		{name: "none", hit: func(*cell) {}},
		{name: "receiver killed", hit: func(c *cell) { c.receiver.kill() }},
		{name: "owner killed", hit: func(c *cell) { c.owner.kill() }},
		{name: "receiver paused", slow: true, hit: func(c *cell) { c.receiver.freeze(faultLength) }},
		{name: "owner paused", slow: true, hit: func(c *cell) { c.owner.freeze(faultLength) }},
		{name: "receiver cut off", hit: func(c *cell) {
			c.in.setCut(c.receiver, true)
			heal(c, func() { c.in.setCut(c.receiver, false) })
		}},
		{name: "owner cut off", hit: func(c *cell) {
			c.in.setCut(c.owner, true)
			heal(c, func() { c.in.setCut(c.owner, false) })
		}},
		{name: "owner leaves", hit: func(c *cell) {
			c.in.later(0, func() {
				ctx, cancel := context.WithTimeout(context.Background(), faultLength)
				defer cancel()
				_ = c.owner.node.Leave(ctx)
			})
		}},
		{name: "a daemon joins", hit: func(c *cell) { c.in.start() }},
		{name: "store down", hit: func(c *cell) {
			c.setStores(store.Faults{Down: true})
			heal(c, func() { c.setStores(store.Faults{}) })
		}},
		{name: "store loses answers", hit: func(c *cell) { c.setStores(store.Faults{LoseAnswers: 3}) }},
		{name: "leases lapse", hit: func(c *cell) { c.in.engine.LapseLeases() }},
		{name: "worker down", hit: func(c *cell) { c.in.backend.set(func(b *backend) { b.down = true }) }},
		{name: "worker hangs", hit: func(c *cell) { c.in.backend.set(func(b *backend) { b.hang = true }) }},
		{name: "answer cut", hit: func(c *cell) { c.in.backend.set(func(b *backend) { b.cut = true }) }},
		{name: "caller gone", hit: func(c *cell) { c.hangUp() }},
	}
}

func (c *cell) setStores(f store.Faults) {
	for _, d := range c.in.daemons {
		d.store.SetFaults(f)
	}
}

// run carries a request through the cell: once, again through another daemon
// while it may still run, and once more when everything is well again. second,
// if not nil, strikes a random time after the first fault.
func run(t *testing.T, name string, self bool, first strike, second *strike) (replies []reply) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(3)
		defer in.close()
		in.settle()
		require.True(t, in.agreed(), "no view")
		c := &cell{in: in, receiver: in.daemons[0], owner: in.daemons[1], other: in.daemons[2]}
		if self {
			c.owner = c.receiver
		}
		key := in.newKey(c.owner)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.hangUp = cancel
		in.hook = c.hook(first, second)
		var again reply
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(resendAfter)
			again = c.other.request(context.Background(), "again", key)
		}()
		replies = append(replies, c.receiver.request(ctx, "first", key))
		wg.Wait()
		replies = append(replies, again)
		time.Sleep(healed)
		in.backend.set(func(b *backend) { b.down, b.hang, b.cut = false, false, false })
		in.mu.Lock()
		in.hook = nil
		in.mu.Unlock()
		replies = append(replies, c.other.request(context.Background(), "late", key))
		check(t, name, replies, in.backend.runs(key), first.slow || (second != nil && second.slow))
	})
	return replies
}

const (
	resendAfter = 50 * time.Millisecond
	healed      = 20 * time.Second
)

// strike is a fault and when it hits.
type strike struct {
	fault
	at    step
	delay time.Duration
}

// hook hits with the first fault when the first send reaches its step.
func (c *cell) hook(first strike, second *strike) func(step, *daemon) {
	var once sync.Once
	return func(s step, d *daemon) {
		if s != first.at || d != c.receiver {
			return
		}
		once.Do(func() {
			first.hit(c)
			if second != nil {
				c.in.later(second.delay, func() { second.hit(c) })
			}
		})
	}
}

// check tests what must always hold.
func check(t *testing.T, name string, replies []reply, ran []string, slow bool) {
	assert.LessOrEqual(t, len(ran), 1, "%s: ran %v", name, ran)
	for _, r := range replies {
		switch {
		case r.lost:
		case r.verdict == verdict.Done:
			assert.Len(t, ran, 1, "%s: %s was answered", name, r.send)
			assert.Contains(t, r.body, "answer to ", "%s: %s got a whole answer", name, r.send)
		case r.verdict == verdict.NotRun:
			assert.NotContains(t, ran, r.send, "%s: %s was told that it did not run", name, r.send)
		}
		if !slow {
			assert.LessOrEqual(t, r.took, 2100*time.Millisecond, "%s: %s was answered late", name, r.send)
		}
	}
}

var update = flag.Bool("update", false, "write the tables of docs/FAULTS.md anew")

// TestEveryFaultAtEveryStep prints its outcomes into docs/FAULTS.md.
func TestEveryFaultAtEveryStep(t *testing.T) {
	var b strings.Builder
	for _, self := range []bool{false, true} {
		owner := "another daemon"
		if self {
			owner = "the receiver itself"
		}
		fmt.Fprintf(&b, "\nThe key's owner is %s:\n\n| fault |", owner)
		for _, s := range steps {
			fmt.Fprintf(&b, " %s |", s)
		}
		fmt.Fprintf(&b, "\n|---|%s\n", strings.Repeat("---|", len(steps)))
		for _, f := range faults() {
			fmt.Fprintf(&b, "| %s |", f.name)
			for _, s := range steps {
				marks := ""
				for _, r := range run(t, f.name+" at "+string(s), self, strike{fault: f, at: s}, nil) {
					marks += r.mark()
				}
				fmt.Fprintf(&b, " %s |", marks)
			}
			b.WriteString("\n")
		}
	}
	compareTable(t, "request", b.String())
}

const faultsPage = "../../docs/FAULTS.md"

// compareTable compares a table with the one between its marks on the page.
func compareTable(t *testing.T, name, table string) {
	begin, end := "<!-- "+name+" matrix -->\n", "<!-- end of "+name+" matrix -->"
	page, err := os.ReadFile(faultsPage)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(page), begin)
	require.True(t, ok, "the page has no mark %q", begin)
	old, tail, ok := strings.Cut(rest, end)
	require.True(t, ok)
	if *update {
		require.NoError(t, os.WriteFile(faultsPage, []byte(head+begin+table+end+tail), 0o644))
		return
	}
	assert.Equal(t, old, table, "run go test ./internal/matrix -update and read the difference")
}
