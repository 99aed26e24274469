package job

import "slices"

// Crash records a run that was on a worker when the worker crashed, or when contact with the
// worker was lost for a reason that is not known yet.
type Crash struct {
	Run         uint64 `json:"R"`
	Worker      string `json:"W,omitempty"` // incarnation of the worker while the crash is unconfirmed; "" once confirmed
	AtStart     bool   `json:"E,omitempty"` // right after the run started
	TimeKnown   bool   `json:"X,omitempty"` // the time of the crash is known, not just the last contact before it
	SoleSuspect bool   `json:"A,omitempty"` // no other run on the worker is as likely to have caused it
}

// Unconfirmed reports whether it is not known yet whether the worker crashed.
func (c *Crash) Unconfirmed() bool { return c.Worker != "" }

// Crashes are the crashes of one task. Like Failures it lists the runs instead of counting
// them, as the same crash may be reported again, to the next owner.
type Crashes []Crash

// Find returns the crash of a run, nil if there is none.
func (c Crashes) Find(run uint64) *Crash {
	i := slices.IndexFunc(c, func(k Crash) bool { return k.Run == run })
	if i < 0 {
		return nil
	}
	return &c[i]
}

// Without returns the crashes for which remove is false. It reuses c.
func (c Crashes) Without(remove func(k Crash) bool) Crashes {
	return slices.DeleteFunc(c, remove)
}

// count returns the number of crashes for which match is true.
func (c Crashes) count(match func(k Crash) bool) int {
	n := 0
	for _, k := range c {
		if match(k) {
			n++
		}
	}
	return n
}

// Confirmed returns the number of confirmed crashes.
func (c Crashes) Confirmed() int { return c.count(func(k Crash) bool { return !k.Unconfirmed() }) }

// CrashRisk says when a task may crash its worker, which determines how its runs are isolated.
// Higher values mean a higher risk.
type CrashRisk int

// The risks.
const (
	CrashRiskNone    CrashRisk = iota
	CrashRiskAtStart           // right after its start
	CrashRiskAnytime           // at any time of its run
)

// minCrashesForAnytime is the number of confirmed crashes, at whatever time of a run, that
// give a task CrashRiskAnytime. A single crash late in a run is no evidence against the task.
const minCrashesForAnytime = 2

// Risk returns the task's risk according to its crashes.
func (c Crashes) Risk() CrashRisk {
	switch {
	case c.Confirmed() >= minCrashesForAnytime:
		return CrashRiskAnytime
	case c.count(func(k Crash) bool { return k.AtStart }) > 0:
		return CrashRiskAtStart
	}
	return CrashRiskNone
}

// Numbers of crashes that prove that a task crashes its workers. The caller's job then fails, so
// coincidence has to be ruled out: when workers go down one after another, one start in a few
// hundred coincides with a crash, but two starts of the same task hardly ever do.
const (
	minCrashesAtStart = 2 // right after the start, at a known time
	minCrashesTimed   = 3 // at any time of a run, if the time of one is known and it has no other suspect
	// minCrashesUntimed applies if the time of no crash is known, as when instances lose power. A
	// task that crashes its workers may be started at most twice after its third crash, which
	// this number observes.
	minCrashesUntimed = 4
)

// Conclusive reports whether the crashes prove that the task crashes its workers, so that another
// start would crash another worker. At least one of the crashes must have no other suspect.
func (c Crashes) Conclusive() bool {
	soleSuspect := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.SoleSuspect })
	confirmed := c.Confirmed()
	if soleSuspect > 0 && confirmed >= minCrashesUntimed {
		return true
	}
	timedSoleSuspect := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.SoleSuspect && k.TimeKnown })
	atStart := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.AtStart && k.TimeKnown })
	return timedSoleSuspect > 0 && (atStart >= minCrashesAtStart || confirmed >= minCrashesTimed)
}
