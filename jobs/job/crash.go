package job

import "slices"

// Crash is a run of a task that was on a worker when it crashed, or when contact to it was
// lost and nobody knows yet why.
type Crash struct {
	Run         uint64 `json:"R"`
	Worker      string `json:"W,omitempty"` // life of the worker, while its fate is open; "" once it has crashed
	AtStart     bool   `json:"E,omitempty"` // it happened as soon as the run began
	TimeKnown   bool   `json:"X,omitempty"` // the moment is known, not only the last sign of life before it
	SoleSuspect bool   `json:"A,omitempty"` // nothing else that ran there explains it as well
}

// Unconfirmed reports whether it is not known yet whether the worker has crashed.
func (c *Crash) Unconfirmed() bool { return c.Worker != "" }

// Crashes are those of one task. As with failures the runs are kept, not their number: news
// of one may come again, to the next owner.
type Crashes []Crash

// Find returns the crash of a run, nil if there is none.
func (c Crashes) Find(run uint64) *Crash {
	i := slices.IndexFunc(c, func(k Crash) bool { return k.Run == run })
	if i < 0 {
		return nil
	}
	return &c[i]
}

// Without returns the crashes that gone does not hold for.
func (c Crashes) Without(gone func(k Crash) bool) Crashes {
	return slices.DeleteFunc(c, gone)
}

// count returns how many crashes hold.
func (c Crashes) count(holds func(k Crash) bool) int {
	n := 0
	for _, k := range c {
		if holds(k) {
			n++
		}
	}
	return n
}

// Confirmed returns how many workers have crashed under the task for certain.
func (c Crashes) Confirmed() int { return c.count(func(k Crash) bool { return !k.Unconfirmed() }) }

// CrashRisk is what a task has to put up with for crashes under it.
type CrashRisk int

// The suspicions.
const (
	CrashRiskNone    CrashRisk = iota
	CrashRiskAtStart           // it may crash its worker as soon as it starts there
	CrashRiskAnytime           // it may do so at any time
)

// certainForAlways is how many crashes make a task suspect whenever in its runs they were: a
// worker that crashes late in a run is no sign, two are.
const certainForAlways = 2

// Risk returns what the crashes make of the task.
func (c Crashes) Risk() CrashRisk {
	switch {
	case c.Confirmed() >= certainForAlways:
		return CrashRiskAnytime
	case c.count(func(k Crash) bool { return k.AtStart }) > 0:
		return CrashRiskAtStart
	}
	return CrashRiskNone
}

// Figures of the proof that a task crashes its workers. A caller is told that its job has
// failed, so that chance has to be ruled out: workers that go down by turns take a task with
// them at the moment of its start once in some hundred times, and twice hardly ever.
const (
	proofByMoment = 2 // crashes at the moment of the start
	proofByNumber = 3 // crashes at any time
	// proofInDark is how many crashes prove it if no moment of any is known, as when
	// instances lose power. Two starts more than three crashes are what a task is allowed.
	proofInDark = 4
)

// Conclusive reports whether the task crashes its workers beyond doubt: starting it again would
// cost one more. At least one of the crashes had no other cause that ran there.
func (c Crashes) Conclusive() bool {
	alone := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.SoleSuspect })
	certain := c.Confirmed()
	if alone > 0 && certain >= proofInDark {
		return true
	}
	exact := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.SoleSuspect && k.TimeKnown })
	atStart := c.count(func(k Crash) bool { return !k.Unconfirmed() && k.AtStart && k.TimeKnown })
	return exact > 0 && (atStart >= proofByMoment || certain >= proofByNumber)
}
