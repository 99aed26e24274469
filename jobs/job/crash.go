package job

import (
	"slices"
	"time"
)

// Crash records a run that was on a worker when the worker crashed, or when contact with the
// worker was lost for a reason that is not known yet.
type Crash struct {
	Run         uint64 `json:"R"`
	Worker      string `json:"W,omitempty"` // incarnation of the worker while the crash is unconfirmed; "" once confirmed
	Instance    string `json:"I,omitempty"` // of the worker; "": not known
	AtStart     bool   `json:"E,omitempty"` // right after the run started
	SoleSuspect bool   `json:"A,omitempty"` // no other run on the worker is as likely to have caused it
	// Eliminated: there were others, and all of them have completed elsewhere since.
	Eliminated bool `json:"O,omitempty"`
	// AcceptedAt is when the worker accepted the run, as long as no owner has lost contact to the worker:
	// if the owner is lost together with it, the next one knows which run it had. Zero once an owner has.
	AcceptedAt time.Time `json:"S,omitzero"`
	Rack       string    `json:"K,omitempty"` // of the worker, with AcceptedAt
	// Correlated: contact to most workers of the rack or zone was lost at the same time. Only the owner
	// that saw this can know whether they have ended, too.
	Correlated bool `json:"C,omitempty"`
	// Exposure is the longest time that the run can have been on the worker. 0: no owner observed the
	// loss of the worker, or the run may not have begun.
	Exposure time.Duration `json:"T,omitempty"`
	// Coincidence is the probability that a worker is lost within Exposure without any task being
	// the cause, by the rate at which workers were lost at that time.
	Coincidence float64 `json:"P,omitempty"`
}

// Unconfirmed reports whether it is not known yet whether the worker crashed.
func (c *Crash) Unconfirmed() bool { return c.Worker != "" }

// IsAcceptedStart reports whether the worker is only known to have accepted the run: nothing is known of
// a crash.
func (c *Crash) IsAcceptedStart() bool { return !c.AcceptedAt.IsZero() }

// isTimed reports whether an owner observed how long the run was on the worker, so that Coincidence
// is known.
func (c *Crash) isTimed() bool { return c.Exposure > 0 && c.Coincidence > 0 }

// IsEvidence reports whether the crash is evidence against the task: no other one is as likely to
// have caused it.
func (c *Crash) IsEvidence() bool { return (c.SoleSuspect || c.Eliminated) && c.isTimed() }

// WasAlone reports whether the crash is evidence without regard to what became of other tasks.
func (c *Crash) WasAlone() bool { return c.SoleSuspect && c.isTimed() }

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

// Timed returns the number of crashes, unconfirmed ones included, of runs of which the time on the worker is
// known.
func (c Crashes) Timed() int { return c.count(func(k Crash) bool { return k.isTimed() }) }

// CrashRisk says when a task may crash its worker, which determines how its runs are isolated.
// Higher values mean a higher risk.
type CrashRisk int

// The risks.
const (
	CrashRiskNone    CrashRisk = iota
	CrashRiskAtStart           // right after its start
	CrashRiskAnytime           // at any time of its run
)

// maxCoincidenceOfRisk is the largest probability of coincidence at which crashes, at whatever time of
// a run, give a task CrashRiskAnytime. A single crash late in a run is no evidence against the task,
// and several are none while many workers are lost.
const maxCoincidenceOfRisk = 0.01

// Risk returns the task's risk according to its crashes.
func (c Crashes) Risk() CrashRisk {
	switch {
	case exceedCoincidence(maxCoincidenceOfRisk, slices.DeleteFunc(slices.Clone(c), func(k Crash) bool { return k.Unconfirmed() || !k.isTimed() })):
		return CrashRiskAnytime
	case c.count(func(k Crash) bool { return k.AtStart }) > 0:
		return CrashRiskAtStart
	}
	return CrashRiskNone
}

// Bounds on giving a task up. The caller's job then fails, so it must not happen by coincidence, also
// not while many workers are lost one after another.
const (
	// maxFalseConviction is the largest probability with which a task that crashes no worker may be
	// given up, by rates of losses that are upper bounds.
	maxFalseConviction = 5e-6
	// minRepeatedCrashes is the smallest number of crashes from which anything is concluded.
	minRepeatedCrashes = 2
)

// Conclusive reports whether the confirmed crashes prove that the task crashes its workers, so that
// another start would crash another worker.
func (c Crashes) Conclusive() bool {
	confirmed := slices.DeleteFunc(slices.Clone(c), func(k Crash) bool { return k.Unconfirmed() })
	return confirmed.MayBecomeConclusive()
}

// MayBecomeConclusive reports whether the crashes would be conclusive if all were confirmed. The task has to have
// crashed minRepeatedCrashes instances alone: otherwise thousands of tasks would be judged, of which some lose
// two workers by a rare coincidence; few are tried alone.
func (c Crashes) MayBecomeConclusive() bool {
	return c.AloneOnInstances() >= minRepeatedCrashes && exceedCoincidence(maxFalseConviction, c.onePerInstance((*Crash).IsEvidence))
}

// AloneOnInstances returns the number of instances that crashed under the task alone.
func (c Crashes) AloneOnInstances() int { return len(c.onePerInstance((*Crash).WasAlone)) }

// OnInstance returns the number of crashes on the instance, unconfirmed ones included. id "" counts those on instances
// that are not known.
func (c Crashes) OnInstance(id string) int {
	return c.count(func(k Crash) bool { return k.Instance == id })
}

// onePerInstance returns, of the crashes for which counts is true, the most probable one of each instance: a faulty
// instance crashes again and again under whatever runs there, so that its later crashes prove nothing against a task.
func (c Crashes) onePerInstance(counts func(k *Crash) bool) Crashes {
	var out Crashes
	for n := range c {
		k := &c[n]
		if !counts(k) {
			continue
		}
		i := slices.IndexFunc(out, func(o Crash) bool { return o.Instance == k.Instance && k.Instance != "" })
		switch {
		case i < 0:
			out = append(out, *k)
		case out[i].Coincidence < k.Coincidence:
			out[i] = *k
		}
	}
	return out
}

// AreImprobable reports whether the timed crashes would meet a task that crashes no worker with a probability of
// maxCoincidenceOfRisk at most, if workers are lost at the given rate per second.
func (c Crashes) AreImprobable(lossRate float64) bool {
	timed := c.onePerInstance((*Crash).isTimed)
	n, expected := len(timed), 0.0
	for _, k := range timed {
		expected += lossRate * k.Exposure.Seconds()
	}
	return n > minRepeatedCrashes && coincidenceBound(expected, n, n) <= maxCoincidenceOfRisk
}

// exceedCoincidence reports whether so many crashes meet a task that crashes no worker with a probability of at
// most maxProbability. Some of the crashes may have nothing to do with the task, so the most improbable ones are
// considered alone, too.
func exceedCoincidence(maxProbability float64, crashes Crashes) bool {
	var coincidences []float64
	for _, k := range crashes {
		coincidences = append(coincidences, k.Coincidence)
	}
	slices.Sort(coincidences)
	expected := 0.0 // number of crashes by coincidence
	for i, p := range coincidences {
		expected += p
		if n := i + 1; n >= minRepeatedCrashes && coincidenceBound(expected, n, len(coincidences)) <= maxProbability {
			return true
		}
	}
	return false
}

// coincidenceBound returns an upper bound of the probability that a task which crashes no worker
// meets n crashes where expected ones are expected (the tail of a Poisson distribution), if these n
// were selected from all.
func coincidenceBound(expected float64, n, all int) float64 {
	bound := 1.0
	for i := range n {
		selections := float64(all-i) / float64(i+1) // the product is the binomial coefficient
		bound *= selections * expected / float64(i+1)
	}
	return bound
}
