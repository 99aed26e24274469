package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestForecastOfLateWave: a wave that is going to exceed its time limit is logged early.
func TestForecastOfLateWave(t *testing.T) {
	for _, tc := range []struct {
		maxDown int
		within  time.Duration
		late    bool
	}{
		{4, 30 * time.Second, false},
		{1, 30 * time.Second, true},
		{1, 3 * time.Minute, false},
	} {
		r := newRig(t, 1)
		var ids []InstanceID
		for n := range 8 {
			id := r.worker(fmt.Sprintf("w%d", n))
			r.answerHold(id, nil)
			ids = append(ids, InstanceID("i-"+id))
		}
		r.core.TakeDecisions()
		r.core.OnWave(WaveRequest{Wave: 1, Instances: ids, Within: tc.within, MaxDown: tc.maxDown}, nil, false, r.now)
		r.tick(50 * time.Millisecond)
		var reasons []string
		for _, d := range r.core.TakeDecisions() {
			if strings.HasPrefix(d.Event, "wave-late") {
				reasons = append(reasons, d.Reason)
			}
		}
		if tc.late {
			assert.Len(t, reasons, 1)
		} else {
			assert.Empty(t, reasons)
		}
	}
}
