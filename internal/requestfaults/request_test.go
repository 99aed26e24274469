package requestfaults

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

// scenario is the installation and the daemons' roles in one run of a request under faults.
type scenario struct {
	in           *installation
	receiver     *daemon
	owner        *daemon
	resender     *daemon // the daemon that the request is sent to again
	cancelCaller context.CancelFunc
}

// fault is one kind of fault.
type fault struct {
	name   string
	inject func(c *scenario)
	// delaysReply is true if responses may be late because a daemon is paused.
	delaysReply bool
}

// faultDuration is the time until a temporary fault ends.
const faultDuration = 5 * time.Second

// faults returns the kinds of faults; docs/FAULTS.md has a row for each, under its name.
func faults() []fault {
	heal := func(c *scenario, fn func()) { c.in.after(faultDuration, fn) }
	return []fault{
		{name: "none", inject: func(*scenario) {}},
		{name: "receiver killed", inject: func(c *scenario) { c.receiver.kill() }},
		{name: "owner killed", inject: func(c *scenario) { c.owner.kill() }},
		{name: "receiver paused", delaysReply: true, inject: func(c *scenario) { c.receiver.freeze(faultDuration) }},
		{name: "owner paused", delaysReply: true, inject: func(c *scenario) { c.owner.freeze(faultDuration) }},
		{name: "receiver cut off", inject: func(c *scenario) {
			c.in.setIsolated(c.receiver, true)
			heal(c, func() { c.in.setIsolated(c.receiver, false) })
		}},
		{name: "owner cut off", inject: func(c *scenario) {
			c.in.setIsolated(c.owner, true)
			heal(c, func() { c.in.setIsolated(c.owner, false) })
		}},
		ownerLeaves(),
		{name: "a daemon joins", inject: func(c *scenario) { c.in.start() }},
		{name: "store down", inject: func(c *scenario) {
			c.setStores(store.Faults{Down: true})
			heal(c, func() { c.setStores(store.Faults{}) })
		}},
		{name: "store slow", inject: func(c *scenario) {
			c.setStores(store.Faults{DelayMillis: 900})
			heal(c, func() { c.setStores(store.Faults{}) })
		}},
		{name: "store loses answers", inject: func(c *scenario) { c.setStores(store.Faults{LoseAnswers: 3}) }},
		{name: "leases lapse", inject: func(c *scenario) { c.in.engine.ExpireAllLeases() }},
		{name: "worker down", inject: func(c *scenario) { c.in.backend.update(func(b *backend) { b.down = true }) }},
		{name: "worker hangs", inject: func(c *scenario) { c.in.backend.update(func(b *backend) { b.hang = true }) }},
		{name: "answer cut", inject: func(c *scenario) { c.in.backend.update(func(b *backend) { b.truncate = true }) }},
		{name: "caller gone", inject: func(c *scenario) { c.cancelCaller() }},
	}
}

// ownerLeaves returns the fault of a planned stop of the key's owner.
func ownerLeaves() fault {
	return fault{name: "owner leaves", inject: func(c *scenario) {
		c.in.after(0, func() {
			ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
			defer cancel()
			c.owner.stop(ctx)
		})
	}}
}

func waitTick(ctx context.Context) bool {
	time.Sleep(10 * time.Millisecond)
	return ctx.Err() == nil
}

func (c *scenario) setStores(f store.Faults) {
	for _, d := range c.in.daemons {
		d.store.SetFaults(f)
	}
}

// runRequest sends a request three times: first, again through another daemon while it may
// still run, and once more after all faults have ended. The request has the keyIndex-th key of
// its owner, which is the receiver if receiverOwns is true. second, if not nil, is injected
// second.delay after the first fault.
func runRequest(t *testing.T, keyIndex int, receiverOwns bool, first injection, second *injection) (r result) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(3)
		defer in.close()
		in.awaitView()
		if !in.viewAgreed() {
			r.violations = append(r.violations, "the daemons did not agree on a view")
			return
		}
		c := &scenario{in: in, receiver: in.daemons[0], owner: in.daemons[1], resender: in.daemons[2]}
		if receiverOwns {
			c.owner = c.receiver
		}
		key := in.newKey(c.owner, keyIndex)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.cancelCaller = cancel
		in.onStep = c.hook(first, second, &r.reached)
		var again reply
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(resendAfter)
			again = c.resender.request(context.Background(), "again", key)
		}()
		r.replies = append(r.replies, c.receiver.request(ctx, "first", key))
		wg.Wait()
		r.replies = append(r.replies, again)
		time.Sleep(recoveryTime)
		in.backend.update(func(b *backend) { b.down, b.hang, b.truncate = false, false, false })
		in.mu.Lock()
		in.onStep = nil
		in.mu.Unlock()
		r.replies = append(r.replies, c.resender.request(context.Background(), "late", key))
		r.checkGuarantees(in.backend.sendsOf(key), first.delaysReply || (second != nil && second.delaysReply))
	})
	return r
}

// result is the outcome of one run.
type result struct {
	replies    []reply
	reached    bool     // the fault's step was reached
	violations []string // violated guarantees
}

// letters returns the letters of the replies in order, or "-" if the fault's step was not reached.
func (r *result) letters() string {
	if !r.reached {
		return "-"
	}
	out := ""
	for _, x := range r.replies {
		out += x.letter()
	}
	return out
}

const (
	resendAfter  = 50 * time.Millisecond // from the first send to the second; less than serviceTime
	recoveryTime = 20 * time.Second      // before the last send; longer than faultDuration
)

// injection is a fault and when it is injected: at a step, or delay after another fault.
type injection struct {
	fault
	at    step
	delay time.Duration
}

// hook returns the onStep function that injects the first fault when the receiver reaches its
// step, and the second one after its delay. It sets reached when the step is reached.
func (c *scenario) hook(first injection, second *injection, reached *bool) func(step, *daemon) {
	var once sync.Once
	return func(s step, d *daemon) {
		if s != first.at || d != c.receiver {
			return
		}
		once.Do(func() {
			*reached = true
			first.inject(c)
			if second != nil {
				c.in.after(second.delay, func() { second.inject(c) })
			}
		})
	}
}

// maxLatency is the request's timeout of 2 s plus a margin.
const maxLatency = 2100 * time.Millisecond

// checkGuarantees records violations of what must hold under any fault. ran are the names of the
// sends that ran on a worker; mayBeLate allows responses after maxLatency.
func (r *result) checkGuarantees(ran []string, mayBeLate bool) {
	addViolation := func(format string, args ...any) { r.violations = append(r.violations, fmt.Sprintf(format, args...)) }
	if len(ran) > 1 {
		addViolation("ran more than once: %v", ran)
	}
	for _, x := range r.replies {
		switch {
		case x.noAnswer:
		case x.verdict == verdict.Done && len(ran) != 1:
			addViolation("%s was answered, but the sends that ran are %v", x.name, ran)
		case x.verdict == verdict.Done && !strings.Contains(x.body, "answer to "):
			addViolation("%s got an incomplete answer: %q", x.name, x.body)
		case x.verdict == verdict.NotRun && slices.Contains(ran, x.name):
			addViolation("%s ran although its verdict is not-run", x.name)
		}
		if !mayBeLate && x.latency > maxLatency {
			addViolation("%s was answered after %s", x.name, x.latency)
		}
	}
}

// updateGolden reports whether golden files and the tables of docs/FAULTS.md are to be
// rewritten; package goldie defines the flag.
func updateGolden() bool { return flag.Lookup("update").Value.String() == "true" }

// matrixResult is the outcome of every fault at every step, as Markdown, and the violated
// guarantees.
type matrixResult struct {
	text       string
	violations []string
}

var requestMatrixResult *matrixResult

// requestMatrix runs the matrix once for all tests that use it.
func requestMatrix(t *testing.T) *matrixResult {
	if requestMatrixResult != nil {
		return requestMatrixResult
	}
	var b strings.Builder
	out := &matrixResult{}
	for _, receiverOwns := range []bool{false, true} {
		owner := "another daemon"
		if receiverOwns {
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
				r := runRequest(t, 0, receiverOwns, injection{fault: f, at: s}, nil)
				for _, x := range r.violations {
					out.violations = append(out.violations, fmt.Sprintf("%s at %s: %s", f.name, s, x))
				}
				fmt.Fprintf(&b, " %s |", r.letters())
			}
			b.WriteString("\n")
		}
	}
	out.text = b.String()
	requestMatrixResult = out
	return out
}

// TestEveryFaultAtEveryStep checks the guarantees for each fault at each step.
func TestEveryFaultAtEveryStep(t *testing.T) {
	assert.Empty(t, requestMatrix(t).violations)
}

// TestOutcomesAreThoseOfThePage compares the outcomes with docs/FAULTS.md, so that changes
// visible to callers are noticed.
func TestOutcomesAreThoseOfThePage(t *testing.T) {
	compareTable(t, "request", requestMatrix(t).text)
}

// TestAPlannedStopWaitsForEveryAcceptedRequest guards against a simulated stop that waits for
// Handler.InFlight only, while the real one waits for connections: a request that was accepted but not yet in
// the handler lost its view. One of 340 table cells (the receiver owns the key and leaves at accept) was DMD
// or NDD, not DDD: with GOMAXPROCS 1, 2 and 8 in 0, 1 and 6 of 10,000 runs, with random yields in 3 and 7 of
// 20 runs, and in every run with the request delayed after the step at which the stop begins, as here.
func TestAPlannedStopWaitsForEveryAcceptedRequest(t *testing.T) {
	for _, receiverOwns := range []bool{false, true} {
		for _, s := range steps {
			for _, delay := range []time.Duration{networkDelay, resendAfter / 2, 2 * resendAfter} {
				r := runRequest(t, 0, receiverOwns, injection{fault: withDelay(ownerLeaves(), delay), at: s}, nil)
				assert.Empty(t, r.violations, "delayed by %s at %s, receiver owns the key: %v", delay, s, receiverOwns)
				if r.reached {
					assert.Equal(t, "DDD", r.letters(), "delayed by %s at %s, receiver owns the key: %v", delay, s, receiverOwns)
				}
			}
		}
	}
}

// withDelay returns f with the request delayed at its step after the fault was injected.
func withDelay(f fault, delay time.Duration) fault {
	return fault{name: f.name, inject: func(c *scenario) {
		f.inject(c)
		time.Sleep(delay)
	}}
}

// A fixed seed makes the random search reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestPairsOfFaults injects random pairs of faults; rapid shrinks a failing pair.
func TestPairsOfFaults(t *testing.T) {
	all := faults()
	rapid.Check(t, func(rt *rapid.T) {
		first := injection{fault: all[rapid.IntRange(0, len(all)-1).Draw(rt, "first")], at: rapid.SampledFrom(steps).Draw(rt, "step")}
		second := injection{
			fault: all[rapid.IntRange(0, len(all)-1).Draw(rt, "second")],
			delay: time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms later")) * time.Millisecond,
		}
		key := rapid.IntRange(0, 30).Draw(rt, "key")
		r := runRequest(t, key, rapid.Bool().Draw(rt, "receiver owns the key"), first, &second)
		if len(r.violations) > 0 {
			rt.Fatalf("%s at %s, then %s after %s: %v", first.name, first.at, second.name, second.delay, r.violations)
		}
	})
}

const faultsPage = "../../docs/FAULTS.md"

// compareTable compares a table with the one between its markers in faultsPage.
func compareTable(t *testing.T, name, table string) {
	begin, end := "<!-- "+name+" matrix -->\n", "<!-- end of "+name+" matrix -->"
	page, err := os.ReadFile(faultsPage)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(page), begin)
	require.True(t, ok, "docs/FAULTS.md has no marker %q", begin)
	old, tail, ok := strings.Cut(rest, end)
	require.True(t, ok)
	if updateGolden() {
		require.NoError(t, os.WriteFile(faultsPage, []byte(head+begin+table+end+tail), 0o644))
		return
	}
	assert.Equal(t, old, table, "run go test ./internal/requestfaults -update and review the difference")
}
