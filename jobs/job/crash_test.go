package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestProofThatATaskCrashesItsWorkers(t *testing.T) {
	prompt := Crash{AtStart: true, TimeKnown: true, SoleSuspect: true}
	beside := Crash{AtStart: true, TimeKnown: true}
	late := Crash{TimeKnown: true}
	lateAlone := Crash{TimeKnown: true, SoleSuspect: true}
	dark := Crash{AtStart: true, SoleSuspect: true}
	open := Crash{Worker: "w", AtStart: true, TimeKnown: true, SoleSuspect: true}
	for name, c := range map[string]struct {
		crashes   Crashes
		proven    bool
		suspicion CrashRisk
	}{
		"none":                                  {nil, false, CrashRiskNone},
		"one":                                   {Crashes{prompt}, false, CrashRiskAtStart},
		"one late in the run":                   {Crashes{late}, false, CrashRiskNone},
		"two at the start, one alone":           {Crashes{beside, prompt}, true, CrashRiskAnytime},
		"two at the start, others beside":       {Crashes{beside, beside}, false, CrashRiskAnytime},
		"many, always beside others":            {Crashes{beside, late, beside, late, late}, false, CrashRiskAnytime},
		"two late in the run":                   {Crashes{late, late}, false, CrashRiskAnytime},
		"three, the last alone":                 {Crashes{late, late, lateAlone}, true, CrashRiskAnytime},
		"two, the fate of one is open":          {Crashes{prompt, open}, false, CrashRiskAtStart},
		"three without a moment, as in outages": {Crashes{dark, dark, dark}, false, CrashRiskAnytime},
		"four without a moment":                 {Crashes{dark, dark, dark, dark}, true, CrashRiskAnytime},
	} {
		assert.Equal(t, c.proven, c.crashes.Conclusive(), name)
		assert.Equal(t, c.suspicion, c.crashes.Risk(), name)
	}
}
