package ownermodel

import "testing"

// withLives are all rules, with those for workers that restart.
func withLives() Rules {
	r := all()
	r.LifeFence, r.AckAtOnce, r.LifeLease, r.SettledLives, r.LateStartsWait = true, true, true, true, true
	r.ListedRuns, r.AckListed, r.AckFence = true, true, true
	r.LongWait, r.FlightEnds, r.StartsNeedStore = true, true, true
	return r
}

// withRestarts returns the small bounds with one restart after a change.
func withRestarts(change func(b *Bounds)) Bounds {
	return with(func(b *Bounds) {
		b.Restarts, b.LongLease = 1, 3
		change(b)
	})
}

func ownerOfTwoStarts(b *Bounds) { b.Terms, b.Starts = 1, 2 }
func lateOrdersOfOne(b *Bounds)  { b.Terms, b.Starts, b.Late = 1, 2, true }
func still(b *Bounds)            { lateOrdersOfOne(b); b.Still = true }
func endless(b *Bounds)          { b.Endless = true }
func endlessLate(b *Bounds)      { b.Endless, b.Late = true, true }
func oneWorker(b *Bounds)        { b.OneWorker, b.Endless = true, true }
func unregistered(b *Bounds)     { b.Endless, b.Unregistered = true, true }

// acknowledgements are bounds in which an owner starts a task again after a failure, and again after that.
func acknowledgements(b *Bounds) {
	b.Terms, b.Starts, b.Late, b.Failures, b.Attempts, b.Still = 1, 3, true, true, 2, true
}

// TestRulesHoldWithRestarts explores workers that restart under their IDs.
func TestRulesHoldWithRestarts(t *testing.T) {
	none := func(*Rules) {}
	clockTells := func(r *Rules) { r.ListedRuns, r.ClockTells = false, true }
	fromElection := func(r *Rules) { r.GrantsNeedStore, r.QuietAtElection, r.StartsNeedStore = true, true, false }
	lapseAfterWait := func(r *Rules) { r.GrantsInFull, r.LapseNeedsGrant, r.LapseAfterWait = false, false, true }
	for _, s := range []struct {
		name   string
		off    func(r *Rules)
		change func(b *Bounds)
		large  bool
	}{
		{"one owner", none, ownerOfTwoStarts, false},
		{"acknowledgements, an order in flight, no time", none, acknowledgements, false},
		{"acknowledgements, no order in flight", none, func(b *Bounds) { acknowledgements(b); b.Late, b.Still = false, false }, true},
		{"acknowledgements, two restarts, no time", none, func(b *Bounds) { acknowledgements(b); b.Restarts = 2 }, true},
		{"one owner, an order in flight", none, lateOrdersOfOne, true},
		{"one owner, two restarts", none, func(b *Bounds) { ownerOfTwoStarts(b); b.Restarts = 2 }, true},
		{"two owners, one worker, no ends", none, oneWorker, false},
		{"two owners, no order in flight", none, func(*Bounds) {}, true},
		{"two owners, lives that are not registered, no ends", none, unregistered, true},
		{"two owners, an order in flight, no ends", none, endlessLate, true},
		{"waits from the election, no ends", fromElection, endless, true},
		{"waits from the election, lives that are not registered, no ends", fromElection, unregistered, true},
		{"ClockTells, one owner", clockTells, ownerOfTwoStarts, true},
		{"ClockTells, one owner, an order in flight", clockTells, lateOrdersOfOne, true},
		{"ClockTells, two owners, one worker, no ends", clockTells, oneWorker, true},
		{"LapseAfterWait, one owner", lapseAfterWait, ownerOfTwoStarts, true},
		{"LapseAfterWait, two owners, one worker, no ends", lapseAfterWait, oneWorker, true},
	} {
		if s.large && !*large {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			rules := withLives()
			s.off(&rules)
			requireOutcome(t, explore(t, Model{rules, withRestarts(s.change)}), "")
		})
	}
}

// TestMutationsOfLives leaves out one of the rules for restarts at a time.
func TestMutationsOfLives(t *testing.T) {
	for _, m := range []struct {
		guard  string
		off    func(r *Rules)
		bounds func(b *Bounds)
		broken string
		large  bool
	}{
		{"LifeFence", func(r *Rules) { r.LifeFence = false }, lateOrdersOfOne, twice, false},
		{"AckAtOnce", func(r *Rules) { r.AckAtOnce = false }, acknowledgements, again, false},
		{"AckListed", func(r *Rules) { r.AckListed = false }, acknowledgements, again, false},
		{"AckFence", func(r *Rules) { r.AckFence = false }, acknowledgements, again, false},
		{"LifeLease", func(r *Rules) { r.LifeLease = false }, ownerOfTwoStarts, twice, false},
		{"LateStartsWait", func(r *Rules) { r.LateStartsWait = false }, ownerOfTwoStarts, twice, false},
		{"LateStartsWait, no time", func(r *Rules) { r.LateStartsWait = false }, still, twice, false},
		{"AckListed, ClockTells", func(r *Rules) { r.AckListed, r.ClockTells = false, true }, acknowledgements, again, false},
		{"ListedRuns", func(r *Rules) { r.ListedRuns = false }, ownerOfTwoStarts, twice, false},
		{"StartsNeedStore", func(r *Rules) { r.StartsNeedStore = false }, endless, twice, false},
		{"FlightEnds", func(r *Rules) { r.FlightEnds = false }, endlessLate, twice, true},
		{"SettledLives, the lease of a life that answers", func(r *Rules) { r.SettledLives = false }, oneWorker, twice, false},
		{"SettledLives, the wait for one that does not", func(r *Rules) { r.SettledLives, r.LongWait = false, false }, endless, twice, true},
		{"GrantsNeedStore, waits from the election", func(r *Rules) { r.QuietAtElection = true }, endless, twice, true},
		{"LongWait", func(r *Rules) { r.LongWait = false }, unregistered, twice, true},
	} {
		if m.large && !*large {
			continue
		}
		t.Run(m.guard, func(t *testing.T) {
			t.Parallel()
			rules := withLives()
			m.off(&rules)
			requireOutcome(t, explore(t, Model{rules, withRestarts(m.bounds)}), m.broken)
		})
	}
}
