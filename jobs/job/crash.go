package job

import "slices"

// Crash records a run that was on a worker when the worker crashed, or when contact with it
// was lost for a reason that is not known yet.
type Crash struct {
	Run         uint64 `json:"R"`
	Worker      string `json:"W,omitempty"` // incarnation of the worker while the crash is unconfirmed; "" once confirmed
	AtStart     bool   `json:"E,omitempty"` // right after the run started
	TimeKnown   bool   `json:"X,omitempty"` // the time of the crash is known, not just the last contact before it
	SoleSuspect bool   `json:"A,omitempty"` // no other run on the worker is as likely to be the cause
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
// Higher values are worse.
type CrashRisk int

// The risks.
const (
	CrashRiskNone    CrashRisk = iota
	CrashRiskAtStart           // right after its start
	CrashRiskAnytime           // at any time of its run
)

// minCrashesForAnytime is the number of confirmed crashes, at whatever time of a run, that
// make a task CrashRiskAnytime. A single crash late in a run is no evidence against the task.
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

// Numbers of crashes that prove that a task crashes its workers. The proof fails the caller's
// job, so coincidence has to be ruled out: when workers go down one after another, one start
// in some hundred coincides with a crash, and hardly ever two starts of the same task do.
const (
	minCrashesAtStart = 2 // right after the start, at a known time
	minCrashesTimed   = 3 // at any time, if one is timed and has no other suspect
	// minCrashesUntimed applies if no crash is timed, as when instances lose power. It is within
	// the limit on a task that crashes its workers: two starts after its third crash.
	minCrashesUntimed = 4
)

// Conclusive reports whether the task has been proven to crash its workers, so that starting
// it again would cost another one. At least one of the crashes must have no other suspect.
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
