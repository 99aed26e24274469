package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Probabilities that a run loses its worker by coincidence.
const (
	calmAtStart = 1e-4   // within 20 ms, while a worker is lost each 200 s of its time
	calmLate    = 0.0045 // within 0.9 s
	calmUntimed = 0.0065 // within 1.3 s
	seriesLate  = 0.15   // within 1.3 s, while an eighth of the workers is lost each second
	seriesStart = 0.0024 // within 20 ms
)

func TestConclusiveCrashesAndRisk(t *testing.T) {
	crash := func(atStart, sole bool, coincidence float64) Crash {
		return Crash{AtStart: atStart, SoleSuspect: sole, Exposure: time.Second, Coincidence: coincidence}
	}
	atStart := crash(true, true, calmAtStart)
	atStartShared := crash(true, false, calmAtStart)
	lateShared := crash(false, false, calmLate)
	lateAlone := crash(false, true, calmLate)
	untimed := crash(true, true, calmUntimed)
	lateInSeries := crash(false, true, seriesLate)
	atStartInSeries := crash(true, true, seriesStart)
	notObserved := Crash{AtStart: true, SoleSuspect: true}
	unconfirmed := atStart
	unconfirmed.Worker = "w"
	for name, c := range map[string]struct {
		crashes    Crashes
		conclusive bool
		risk       CrashRisk
	}{
		"none":                                   {nil, false, CrashRiskNone},
		"one":                                    {Crashes{atStart}, false, CrashRiskAtStart},
		"one late in a run":                      {Crashes{lateShared}, false, CrashRiskNone},
		"two at start":                           {Crashes{atStart, atStart}, true, CrashRiskAnytime},
		"two at start, one shared":               {Crashes{atStartShared, atStart}, false, CrashRiskAnytime},
		"three at start, one shared":             {Crashes{atStartShared, atStart, atStart}, true, CrashRiskAnytime},
		"two at start, other suspects":           {Crashes{atStartShared, atStartShared}, false, CrashRiskAnytime},
		"many, always other suspects":            {Crashes{atStartShared, lateShared, atStartShared, lateShared, lateShared}, false, CrashRiskAnytime},
		"two late in a run":                      {Crashes{lateShared, lateShared}, false, CrashRiskAnytime},
		"three late, last is sole suspect":       {Crashes{lateShared, lateShared, lateAlone}, false, CrashRiskAnytime},
		"three late":                             {Crashes{lateAlone, lateAlone, lateAlone}, true, CrashRiskAnytime},
		"two, one unconfirmed":                   {Crashes{atStart, unconfirmed}, false, CrashRiskAtStart},
		"two untimed, as in power outages":       {Crashes{untimed, untimed}, false, CrashRiskAnytime},
		"three untimed":                          {Crashes{untimed, untimed, untimed}, true, CrashRiskAnytime},
		"three late while workers fall":          {Crashes{lateInSeries, lateInSeries, lateInSeries}, false, CrashRiskNone},
		"four late while workers fall":           {Crashes{lateInSeries, lateInSeries, lateInSeries, lateInSeries}, false, CrashRiskAnytime},
		"two at start while workers fall":        {Crashes{atStartInSeries, atStartInSeries}, false, CrashRiskAnytime},
		"three at start while workers fall":      {Crashes{atStartInSeries, atStartInSeries, atStartInSeries}, true, CrashRiskAnytime},
		"three at start among late ones":         {Crashes{lateInSeries, atStart, lateInSeries, atStart, atStart}, true, CrashRiskAnytime},
		"many that no owner observed":            {Crashes{notObserved, notObserved, notObserved, notObserved, notObserved, notObserved}, false, CrashRiskAtStart},
		"one at start, one that nobody observed": {Crashes{atStart, notObserved}, false, CrashRiskAtStart},
	} {
		assert.Equal(t, c.conclusive, c.crashes.Conclusive(), name)
		assert.Equal(t, c.risk, c.crashes.Risk(), name)
	}
	assert.True(t, Crashes{atStart, unconfirmed}.MayBecomeConclusive())
	assert.False(t, Crashes{atStart}.MayBecomeConclusive())
	assert.False(t, Crashes{lateInSeries, unconfirmed}.MayBecomeConclusive())
}

// TestCoincidenceBound compares the bound with the probability that a Poisson variable reaches n.
func TestCoincidenceBound(t *testing.T) {
	for name, c := range map[string]struct {
		expected float64
		n, all   int
		want     float64
	}{
		"two of two":   {0.01, 2, 2, 5e-5},
		"three":        {0.03, 3, 3, 4.5e-6},
		"two of five":  {0.01, 2, 5, 5e-4},
		"none follows": {0, 2, 2, 0},
	} {
		assert.InDelta(t, c.want, coincidenceBound(c.expected, c.n, c.all), 1e-9, name)
	}
}

// TestEliminatedSuspectsAddToCrashesAlone guards against a task without fault that is given up after two losses, as the
// other suspects of the first have completed: nobody was tried alone twice.
func TestEliminatedSuspectsAddToCrashesAlone(t *testing.T) {
	alone := Crash{SoleSuspect: true, Exposure: 5 * time.Millisecond, Coincidence: 0.00024}
	eliminated := Crash{Eliminated: true, Exposure: 137 * time.Millisecond, Coincidence: 0.0001}
	late := Crash{SoleSuspect: true, Exposure: 400 * time.Millisecond, Coincidence: 0.008}
	assert.False(t, Crashes{eliminated, alone}.Conclusive())
	assert.False(t, Crashes{eliminated, eliminated, eliminated, alone}.Conclusive())
	assert.False(t, Crashes{late, late}.Conclusive())
	assert.True(t, Crashes{eliminated, late, late}.Conclusive())
	unconfirmed := late
	unconfirmed.Worker = "w"
	assert.False(t, Crashes{eliminated, late, unconfirmed}.Conclusive())
	assert.True(t, Crashes{eliminated, late, unconfirmed}.MayBecomeConclusive())
}

// TestAreImprobable: crashes are a sign of the task's fault only if the rate of losses does not explain them.
func TestAreImprobable(t *testing.T) {
	c := Crashes{}
	for range 3 {
		c = append(c, Crash{Exposure: 400 * time.Millisecond, Coincidence: 0.1})
	}
	assert.True(t, c.AreImprobable(0.1))
	assert.False(t, c.AreImprobable(1))
	assert.False(t, c[:2].AreImprobable(0.01), "two may always be a coincidence")
}

// TestCrashesOfOneInstanceProveNothing guards against a task that is given up because one faulty instance crashed again and
// again under it. It is the table of what k crashes on m instances prove, on a calm fleet.
func TestCrashesOfOneInstanceProveNothing(t *testing.T) {
	for _, c := range []struct {
		instances  int
		name       string
		p          float64 // probability of coincidence of each crash
		conclusive bool
	}{
		{1, "at start", calmAtStart, false},
		{1, "late", calmLate, false},
		{2, "at start", calmAtStart, true},
		{2, "late", calmLate, false},
		{3, "at start", calmAtStart, true},
		{3, "late", calmLate, true},
	} {
		for crashes := c.instances; crashes <= 12; crashes++ {
			var list Crashes
			for k := range crashes {
				list = append(list, Crash{Run: uint64(k), Instance: fmt.Sprint("i-", k%c.instances), SoleSuspect: true, Exposure: time.Second, Coincidence: c.p})
			}
			assert.Equal(t, c.conclusive, list.Conclusive(), "%d crashes %s on %d instances", crashes, c.name, c.instances)
			assert.Equal(t, c.instances, list.AloneOnInstances())
		}
	}
}

// TestMostProbableCrashOfAnInstanceCounts: the first crash of a faulty instance may be a rare coincidence, and another
// may happen while many workers are lost.
func TestMostProbableCrashOfAnInstanceCounts(t *testing.T) {
	at := func(instance string, p float64) Crash {
		return Crash{Instance: instance, SoleSuspect: true, Exposure: time.Second, Coincidence: p}
	}
	assert.True(t, Crashes{at("a", calmAtStart), at("b", calmAtStart)}.Conclusive())
	assert.False(t, Crashes{at("a", calmAtStart), at("b", calmAtStart), at("a", seriesLate)}.Conclusive())
	assert.True(t, Crashes{at("", calmAtStart), at("", calmAtStart)}.Conclusive(), "records of earlier versions name no instance")
}
