package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConclusiveCrashesAndRisk(t *testing.T) {
	atStart := Crash{AtStart: true, TimeKnown: true, SoleSuspect: true}
	atStartShared := Crash{AtStart: true, TimeKnown: true}
	lateShared := Crash{TimeKnown: true}
	lateAlone := Crash{TimeKnown: true, SoleSuspect: true}
	atStartUntimed := Crash{AtStart: true, SoleSuspect: true}
	unconfirmed := Crash{Worker: "w", AtStart: true, TimeKnown: true, SoleSuspect: true}
	for name, c := range map[string]struct {
		crashes    Crashes
		conclusive bool
		risk       CrashRisk
	}{
		"none":                               {nil, false, CrashRiskNone},
		"one":                                {Crashes{atStart}, false, CrashRiskAtStart},
		"one late in a run":                  {Crashes{lateShared}, false, CrashRiskNone},
		"two at start, one sole suspect":     {Crashes{atStartShared, atStart}, true, CrashRiskAnytime},
		"two at start, other suspects":       {Crashes{atStartShared, atStartShared}, false, CrashRiskAnytime},
		"many, always other suspects":        {Crashes{atStartShared, lateShared, atStartShared, lateShared, lateShared}, false, CrashRiskAnytime},
		"two late in a run":                  {Crashes{lateShared, lateShared}, false, CrashRiskAnytime},
		"three, last is sole suspect":        {Crashes{lateShared, lateShared, lateAlone}, true, CrashRiskAnytime},
		"two, one unconfirmed":               {Crashes{atStart, unconfirmed}, false, CrashRiskAtStart},
		"three untimed, as in power outages": {Crashes{atStartUntimed, atStartUntimed, atStartUntimed}, false, CrashRiskAnytime},
		"four untimed":                       {Crashes{atStartUntimed, atStartUntimed, atStartUntimed, atStartUntimed}, true, CrashRiskAnytime},
	} {
		assert.Equal(t, c.conclusive, c.crashes.Conclusive(), name)
		assert.Equal(t, c.risk, c.crashes.Risk(), name)
	}
}
