package matrix

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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
		ownerLeaves(),
		{name: "a daemon joins", hit: func(c *cell) { c.in.start() }},
		{name: "store down", hit: func(c *cell) {
			c.setStores(store.Faults{Down: true})
			heal(c, func() { c.setStores(store.Faults{}) })
		}},
		{name: "store slow", hit: func(c *cell) {
			c.setStores(store.Faults{DelayMillis: 900})
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

// ownerLeaves is a planned stop of the key's owner.
func ownerLeaves() fault {
	return fault{name: "owner leaves", hit: func(c *cell) {
		c.in.later(0, func() {
			ctx, cancel := context.WithTimeout(context.Background(), faultLength)
			defer cancel()
			c.owner.stop(ctx)
		})
	}}
}

func pause(ctx context.Context) bool {
	time.Sleep(10 * time.Millisecond)
	return ctx.Err() == nil
}

func (c *cell) setStores(f store.Faults) {
	for _, d := range c.in.daemons {
		d.store.SetFaults(f)
	}
}

// run carries a request through the cell: once, again through another daemon
// while it may still run, and once more when everything is well again. second,
// if not nil, strikes a random time after the first fault.
func run(t *testing.T, key int, self bool, first strike, second *strike) (r result) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(3)
		defer in.close()
		in.settle()
		if !in.agreed() {
			r.broken = append(r.broken, "the daemons did not agree on a view")
			return
		}
		c := &cell{in: in, receiver: in.daemons[0], owner: in.daemons[1], other: in.daemons[2]}
		if self {
			c.owner = c.receiver
		}
		key := in.newKey(c.owner, key)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.hangUp = cancel
		in.hook = c.hook(first, second, &r.hit)
		var again reply
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(resendAfter)
			again = c.other.request(context.Background(), "again", key)
		}()
		r.replies = append(r.replies, c.receiver.request(ctx, "first", key))
		wg.Wait()
		r.replies = append(r.replies, again)
		time.Sleep(healed)
		in.backend.set(func(b *backend) { b.down, b.hang, b.cut = false, false, false })
		in.mu.Lock()
		in.hook = nil
		in.mu.Unlock()
		r.replies = append(r.replies, c.other.request(context.Background(), "late", key))
		r.check(in.backend.runs(key), first.slow || (second != nil && second.slow))
	})
	return r
}

// result is what came of one run.
type result struct {
	replies []reply
	hit     bool     // the fault's step was reached
	broken  []string // promises seen broken
}

func (r *result) marks() string {
	if !r.hit {
		return "-"
	}
	marks := ""
	for _, x := range r.replies {
		marks += x.mark()
	}
	return marks
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
func (c *cell) hook(first strike, second *strike, hit *bool) func(step, *daemon) {
	var once sync.Once
	return func(s step, d *daemon) {
		if s != first.at || d != c.receiver {
			return
		}
		once.Do(func() {
			*hit = true
			first.hit(c)
			if second != nil {
				c.in.later(second.delay, func() { second.hit(c) })
			}
		})
	}
}

// latest is how late a reply may come: the request's deadline and a little.
const latest = 2100 * time.Millisecond

// check tests what must always hold, given the sends that ran.
func (r *result) check(ran []string, slow bool) {
	say := func(format string, args ...any) { r.broken = append(r.broken, fmt.Sprintf(format, args...)) }
	if len(ran) > 1 {
		say("ran more than once: %v", ran)
	}
	for _, x := range r.replies {
		switch {
		case x.lost:
		case x.verdict == verdict.Done && len(ran) != 1:
			say("%s was answered, ran %v", x.send, ran)
		case x.verdict == verdict.Done && !strings.Contains(x.body, "answer to "):
			say("%s got no whole answer: %q", x.send, x.body)
		case x.verdict == verdict.NotRun && slices.Contains(ran, x.send):
			say("%s ran and was told that it did not", x.send)
		}
		if !slow && x.took > latest {
			say("%s was answered after %s", x.send, x.took)
		}
	}
}

// updating reports whether golden files and the tables of docs/FAULTS.md are to
// be written anew; package goldie defines the flag.
func updating() bool { return flag.Lookup("update").Value.String() == "true" }

// table is the outcome of every fault at every step, as Markdown, and the
// promises that were seen broken.
type table struct {
	text   string
	broken []string
}

var requestTable *table

// requestMatrix runs the matrix once for all tests that look at it.
func requestMatrix(t *testing.T) *table {
	if requestTable != nil {
		return requestTable
	}
	var b strings.Builder
	out := &table{}
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
				r := run(t, 0, self, strike{fault: f, at: s}, nil)
				for _, x := range r.broken {
					out.broken = append(out.broken, fmt.Sprintf("%s at %s: %s", f.name, s, x))
				}
				fmt.Fprintf(&b, " %s |", r.marks())
			}
			b.WriteString("\n")
		}
	}
	out.text = b.String()
	requestTable = out
	return out
}

// TestEveryFaultAtEveryStep checks the promises in each cell.
func TestEveryFaultAtEveryStep(t *testing.T) {
	assert.Empty(t, requestMatrix(t).broken)
}

// TestOutcomesAreThoseOfThePage compares the outcomes with docs/FAULTS.md, so
// that a change of what callers get to see is noticed.
func TestOutcomesAreThoseOfThePage(t *testing.T) {
	compareTable(t, "request", requestMatrix(t).text)
}

// TestAPlannedStopWaitsForEveryAcceptedRequest holds a request for a while
// between the step at which the stop begins and its next one. A daemon that stops
// finishes what it has accepted before it leaves, however slowly that goes on.
//
// Seen: one cell of the table, the receiver owns the key and leaves at accept, was
// DMD or NDD instead of DDD: on GOMAXPROCS 1, 2 and 8 in 0, 1 and 6 of 10,000 plays,
// with random yields in the code in 3 and 7 of 20; of the other 339 cells none
// differed. How: the request was accepted, the stop found nothing in flight and left
// the view under it. Cause: the stop of this package waits for Handler.InFlight, which
// counts from the handler on; the real daemon's http.Server.Shutdown waits for its
// connections. Proof: a request held up there meets it every time.
func TestAPlannedStopWaitsForEveryAcceptedRequest(t *testing.T) {
	for _, self := range []bool{false, true} {
		for _, s := range steps {
			for _, held := range []time.Duration{oneWay, resendAfter / 2, 2 * resendAfter} {
				r := run(t, 0, self, strike{fault: heldUp(ownerLeaves(), held), at: s}, nil)
				assert.Empty(t, r.broken, "held for %s at %s, self %v", held, s, self)
				if r.hit {
					assert.Equal(t, "DDD", r.marks(), "held for %s at %s, self %v", held, s, self)
				}
			}
		}
	}
}

// heldUp is f, with the request held up at its step after f has struck.
func heldUp(f fault, held time.Duration) fault {
	return fault{name: f.name, hit: func(c *cell) {
		f.hit(c)
		time.Sleep(held)
	}}
}

// The random search gives the same verdict on every run.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestPairsOfFaults lets two faults meet at random; what fails is shrunk to the
// smallest pair.
func TestPairsOfFaults(t *testing.T) {
	all := faults()
	rapid.Check(t, func(rt *rapid.T) {
		first := strike{fault: all[rapid.IntRange(0, len(all)-1).Draw(rt, "first")], at: rapid.SampledFrom(steps).Draw(rt, "step")}
		second := strike{
			fault: all[rapid.IntRange(0, len(all)-1).Draw(rt, "second")],
			delay: time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms later")) * time.Millisecond,
		}
		key := rapid.IntRange(0, 30).Draw(rt, "key")
		r := run(t, key, rapid.Bool().Draw(rt, "receiver owns the key"), first, &second)
		if len(r.broken) > 0 {
			rt.Fatalf("%s at %s, then %s after %s: %v", first.name, first.at, second.name, second.delay, r.broken)
		}
	})
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
	if updating() {
		require.NoError(t, os.WriteFile(faultsPage, []byte(head+begin+table+end+tail), 0o644))
		return
	}
	assert.Equal(t, old, table, "run go test ./internal/matrix -update and read the difference")
}
