package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestForecastOfAWave: the log says early that a wave will miss its limit.
func TestForecastOfAWave(t *testing.T) {
	for _, c := range []struct {
		atOnce int
		within time.Duration
		late   bool
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
		r.core.OnWave(WaveRequest{Wave: 1, Instances: ids, Within: c.within, MaxDown: c.atOnce}, nil, false, r.now)
		r.tick(50 * time.Millisecond)
		var said []string
		for _, d := range r.core.TakeDecisions() {
			if strings.HasPrefix(d.Event, "wave-late") {
				said = append(said, d.Reason)
			}
		}
		if c.late {
			assert.Len(t, said, 1)
		} else {
			assert.Empty(t, said)
		}
	}
}
