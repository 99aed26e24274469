package ownermodel

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var large = flag.Bool("ownermodel.large", false, "explore the bounds that take minutes, too")

// earlier are the guards from before R1 to R4.
func earlier() Rules {
	return Rules{
		AckOnlyStored: true, Fence: true, TakeoverWait: true, LockCondition: true, RunsByTerm: true,
		StopUnanswered: true, CompleteEnds: true, LapseNeedsGrant: true, RefuseOld: true, RefuseLate: true, StoppedByLease: true,
	}
}

// all are the rules without those for revocations.
func all() Rules {
	r := earlier()
	r.HoldsBounded, r.StartsBounded, r.GrantsInFull = true, true, true
	r.LapseNeedsStore, r.WaitNeedsStore = true, true
	r.OnlyKnownTasks, r.OnlyKnownWorker = true, true
	r.ReleaseEndsCertainty, r.ReleaseIsFinal = true, true
	return r
}

// withoutGrantsInFull are all rules but one that is needed only for elections after the certain end.
func withoutGrantsInFull() Rules {
	r := all()
	r.GrantsInFull = false
	return r
}

// withLapseAfterWait are all rules, with one that takes the place of two.
func withLapseAfterWait() Rules {
	r := all()
	r.GrantsInFull, r.LapseNeedsGrant, r.LapseAfterWait = false, false, true
	return r
}

// withRevocations are all rules but AnswersWait, which would delay each takeover from an owner whose
// lease was revoked.
func withRevocations() Rules {
	r := all()
	r.RevokedWait, r.RevokedWaitStays, r.RenewalProves = true, true, true
	r.NewTasksWait, r.KeepUnknown = true, true
	return r
}

// small are the smallest bounds in which both owners start a task.
func small() Bounds {
	return Bounds{StoreLease: 1, TaskLease: 2, Terms: 2, Starts: 1, Tasks: 1, Attempts: 1}
}

// with returns the small bounds after a change.
func with(change func(b *Bounds)) Bounds {
	b := small()
	change(&b)
	return b
}

func lateElections(b *Bounds) { b.LateElections = true }
func twoStarts(b *Bounds)     { b.Starts = 2 }
func lateOrders(b *Bounds)    { b.Late = true }
func twoTasks(b *Bounds)      { b.Tasks = 2 }
func lateTasks(b *Bounds)     { b.LateTasks = true }
func lateWorker(b *Bounds)    { b.LateWorker = true }
func joining(b *Bounds)       { b.LateTasks, b.LateWorker = true, true }
func failures(b *Bounds)      { b.Failures = true }
func onlyFailures(b *Bounds)  { b.OnlyFailures = true }
func oneOwner(b *Bounds)      { b.Terms, b.Tasks, b.Starts, b.ListedEnds = 1, 2, 3, 1 }
func listedEnds(b *Bounds)    { b.Tasks, b.Starts, b.ListedEnds = 2, 2, 1 }
func releases(b *Bounds)      { b.Release = true }
func threeTerms(b *Bounds)    { b.Terms = 3 }
func lateStarts(b *Bounds)    { b.Late, b.Starts = true, 2 }

func explore(t *testing.T, m Model) Result {
	t.Helper()
	r := m.Explore()
	t.Logf("%d states, %d steps deep: %s", r.States, r.Depth, r.Broken)
	return r
}

func trace(r Result) string { return r.Broken + "\n  " + strings.Join(r.Trace, "\n  ") }

// Parts of Result.Broken, one for each invariant.
const (
	twice   = "is active on"
	again   = "end done was taken note of"
	before  = "is taken note of, after which another run was started"
	beyond  = "failures"
	oldTerm = "carries out an order of term 1 after one of term 2"
)

// TestOwnersWithoutR1ToR3RunTasksTwice finds the faults of an owner that is cut off from the store.
func TestOwnersWithoutR1ToR3RunTasksTwice(t *testing.T) {
	t.Run("no rules", func(t *testing.T) {
		r := explore(t, Model{earlier(), small()})
		assert.Contains(t, r.Broken, twice)
	})
	t.Run("the new owner has waited while the old one goes on to start", func(t *testing.T) {
		rules := all()
		rules.HoldsBounded, rules.StartsBounded, rules.OnlyKnownTasks, rules.OnlyKnownWorker = false, false, false, false
		r := explore(t, Model{rules, small()})
		require.Contains(t, r.Broken, twice, trace(r))
		assert.Contains(t, trace(r), "owner 1 starts T0")
		assert.Contains(t, trace(r), "owner 2 starts T0")
	})
	t.Run("the old owner takes the end of a lease that the new one renews as a proof", func(t *testing.T) {
		rules := all()
		rules.LapseNeedsStore = false
		r := explore(t, Model{rules, with(twoStarts)})
		require.Contains(t, r.Broken, twice, trace(r))
		assert.NotContains(t, trace(r), "owner 2 starts")
		assert.Contains(t, trace(r), "owner 2 sends a hold")
		assert.Contains(t, r.Trace[len(r.Trace)-1], "owner 1 starts T0")
	})
}

// TestRulesHold explores all states within several bounds.
func TestRulesHold(t *testing.T) {
	for _, s := range []struct {
		name   string
		rules  Rules
		change func(b *Bounds)
		large  bool
	}{
		{"elections after the certain end", all(), lateElections, false},
		{"two starts a term", all(), twoStarts, false},
		{"two tasks", all(), twoTasks, false},
		{"late orders", all(), lateOrders, false},
		{"tasks and workers that join", all(), joining, false},
		{"failed runs", all(), failures, false},
		{"truncated lists of ends, one owner", all(), oneOwner, false},
		{"truncated lists of ends", all(), listedEnds, true},
		{"releases", all(), releases, false},
		{"releases, tasks that join", withLapseAfterWait(), func(b *Bounds) { b.Release, b.LateTasks = true, true }, false},
		{"lapses after the wait", withLapseAfterWait(), lateElections, false},
		{"lapses after the wait, three terms", withLapseAfterWait(), threeTerms, true},
		{"lapses after the wait, two starts a term", withLapseAfterWait(), func(b *Bounds) { b.LateElections, b.Starts = true, 2 }, true},
		{"grants not in full, elections before the certain end", withoutGrantsInFull(), twoStarts, true},
		{"three terms", all(), threeTerms, true},
		{"late orders, two starts a term", all(), lateStarts, true},
		{"two attempts", all(), func(b *Bounds) { b.Failures, b.Attempts, b.Starts = true, 2, 2 }, true},
		{"longer leases", all(), func(b *Bounds) { b.StoreLease, b.TaskLease = 2, 3 }, true},
		{"longer leases, joining", all(), func(b *Bounds) { b.StoreLease, b.TaskLease = 2, 3; joining(b) }, true},
		{"two tasks, two starts a term", all(), func(b *Bounds) { b.Tasks, b.Starts = 2, 2 }, true},
		{"three terms, releases", all(), func(b *Bounds) { b.Terms, b.Release = 3, true }, true},
	} {
		if s.large && !*large {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := explore(t, Model{s.rules, with(s.change)})
			assert.Empty(t, r.Broken, trace(r))
		})
	}
}

// TestMutations leaves out one guard at a time. The others are those of jobs/owner, but for the two
// guards in whose place it has another one.
func TestMutations(t *testing.T) {
	for _, m := range []struct {
		guard  string
		off    func(r *Rules)
		bounds func(b *Bounds)
		broken string
	}{
		{"HoldsBounded", func(r *Rules) { r.HoldsBounded = false }, func(*Bounds) {}, twice},
		{"StartsBounded", func(r *Rules) { r.StartsBounded = false }, func(*Bounds) {}, twice},
		{"GrantsInFull", func(r *Rules) { *r = all(); r.GrantsInFull = false }, lateElections, twice},
		{"LapseAfterWait", func(r *Rules) { r.LapseAfterWait = false }, lateElections, twice},
		{"LapseNeedsStore", func(r *Rules) { r.LapseNeedsStore = false }, twoStarts, twice},
		{"WaitNeedsStore", func(r *Rules) { r.WaitNeedsStore = false }, threeTerms, twice},
		{"OnlyKnownTasks", func(r *Rules) { r.OnlyKnownTasks = false }, lateTasks, twice},
		{"OnlyKnownTasks, releases", func(r *Rules) { r.OnlyKnownTasks = false }, func(b *Bounds) { b.Release, b.LateTasks = true, true }, twice},
		{"OnlyKnownWorker", func(r *Rules) { r.OnlyKnownWorker = false }, lateWorker, twice},
		{"AckOnlyStored", func(r *Rules) { r.AckOnlyStored = false }, func(*Bounds) {}, again},
		{"AckOnlyStored, failures", func(r *Rules) { r.AckOnlyStored = false }, onlyFailures, beyond},
		{"CompleteEnds", func(r *Rules) { r.CompleteEnds = false }, oneOwner, before},
		{"ReleaseEndsCertainty", func(r *Rules) { r.ReleaseEndsCertainty = false }, releases, twice},
		{"ReleaseIsFinal", func(r *Rules) { r.ReleaseIsFinal = false }, releases, twice},
		{"Fence", func(r *Rules) { r.Fence = false }, func(*Bounds) {}, oldTerm},
		{"TakeoverWait", func(r *Rules) { r.TakeoverWait = false }, func(*Bounds) {}, twice},
		{"LockCondition", func(r *Rules) { r.LockCondition = false }, func(*Bounds) {}, again},
		{"LockCondition, failures", func(r *Rules) { r.LockCondition = false }, onlyFailures, beyond},
		{"RunsByTerm", func(r *Rules) { r.RunsByTerm = false }, func(*Bounds) {}, twice},
		{"StopUnanswered", func(r *Rules) { r.StopUnanswered = false }, lateStarts, twice},
		{"LapseNeedsGrant", func(r *Rules) { *r = all(); r.LapseNeedsGrant = false }, func(*Bounds) {}, twice},
		{"RefuseOld", func(r *Rules) { r.RefuseOld = false }, lateStarts, twice},
		{"RefuseLate", func(r *Rules) { r.RefuseLate = false }, lateStarts, twice},
		{"StoppedByLease", func(r *Rules) { r.StoppedByLease = false }, func(*Bounds) {}, twice},
	} {
		t.Run(m.guard, func(t *testing.T) {
			t.Parallel()
			rules := withLapseAfterWait()
			m.off(&rules)
			r := explore(t, Model{rules, with(m.bounds)})
			assert.Contains(t, r.Broken, m.broken, trace(r))
		})
	}
}
