package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
)

// TestManyWavesAtOnceAreShown guards against waves that operators never see: the states of 20 waves do not fit into one
// transaction, and those beyond it are dropped.
func TestManyWavesAtOnceAreShown(t *testing.T) {
	simulate(t, func(d *deployment) {
		const waves = 20
		d.in.Kill(d.in.Owner().Name) // the next owner learns of all of them together
		for n := range waves {
			instance := owner.InstanceID(fmt.Sprintf("i%d", n%8))
			d.in.RequestWave(owner.WaveRequest{Wave: n + 1, Instances: []owner.InstanceID{instance}, Within: time.Hour, MaxDown: 1})
		}
		time.Sleep(3 * time.Second)
		for n := range waves {
			assert.NotEmpty(t, d.in.Store.Value(fmt.Sprintf("report/wave/%d", n+1)), "wave %d", n+1)
		}
	})
}
