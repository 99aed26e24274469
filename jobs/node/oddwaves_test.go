package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// TestWaveUnderAnotherKeyIsRefused guards against an entry that takes the place of another wave, whose
// number it contains.
func TestWaveUnderAnotherKeyIsRefused(t *testing.T) {
	metrics := NewMetrics(tally.NoopScope, nil)
	n := &Node{log: zap.NewNop(), metrics: metrics, refusedEntries: newRefusedEntries(zap.NewNop(), metrics), waves: map[int]owner.WaveRequest{}}
	n.platform.Formats.WavePrefix = "wave/"
	n.platform.Formats.DecodeWave = func([]byte) (owner.WaveRequest, error) { return owner.WaveRequest{Wave: 1, MaxDown: 1}, nil }
	for _, key := range []string{"wave/", "wave/2", "wave/x", "wave/1/", "wave/01", "wave/ 1", "wave/+1"} {
		n.addWave(ledger.Item{Key: key})
		assert.Contains(t, n.refusedEntries.refused, key)
		assert.Empty(t, n.waves)
	}
	n.addWave(ledger.Item{Key: "wave/1"})
	assert.Len(t, n.waves, 1)
	assert.NotContains(t, n.refusedEntries.refused, "wave/1")
}
