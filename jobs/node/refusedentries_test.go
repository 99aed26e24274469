package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/postmount/postmount/jobs/ledger"
)

func newObservedRefusals() (*refusedEntries, *observer.ObservedLogs) {
	lines, logged := observer.New(zap.DebugLevel)
	return newRefusedEntries(zap.New(lines), NewMetrics(tally.NoopScope, nil)), logged
}

// encodedBytes returns the size of all logged lines.
func encodedBytes(t *testing.T, logged *observer.ObservedLogs) (bytes int) {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	for _, l := range logged.All() {
		line, err := enc.EncodeEntry(l.Entry, l.Context)
		require.NoError(t, err)
		bytes += line.Len()
	}
	return bytes
}

// TestReasonsOfRefusalAreBounded guards against log lines that are as large as the entries that
// they are about: a megabyte each.
func TestReasonsOfRefusalAreBounded(t *testing.T) {
	for _, filler := range []string{"x", "\n", "\xff", "ä"} {
		r, logged := newObservedRefusals()
		r.add("servers/i-1", 1, fmt.Errorf("worker servers/i-1: state is %q", strings.Repeat(filler, 900_000)))
		r.add("servers/i-2", 2, errors.New(strings.Repeat(filler, 900_000)))
		require.Equal(t, 2, logged.Len())
		assert.Less(t, encodedBytes(t, logged), 4000)
		assert.Contains(t, logged.All()[0].ContextMap()["error"], "servers/i-1: state is")
	}
}

// TestRewrittenEntryIsNamedOnce guards against a log that grows with each write of an invalid entry,
// as workers write theirs every second.
func TestRewrittenEntryIsNamedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, logged := newObservedRefusals()
		for i := range 600 {
			r.add("servers/i-1", int64(i), errors.New("address has port 0"))
			r.add("servers/i-2", int64(i), fmt.Errorf("born is %d, want Unix time in ms", -i))
			time.Sleep(time.Second)
		}
		assert.Equal(t, 1, logged.FilterField(zap.String("key", "servers/i-1")).Len())
		assert.LessOrEqual(t, logged.FilterField(zap.String("key", "servers/i-2")).Len(), 10, "another reason is named at most once a minute")
		r.add("servers/i-1", 601, errors.New("service is missing"))
		r.remove("servers/i-1")
		r.add("servers/i-1", 602, errors.New("service is missing"))
		assert.Equal(t, 4, logged.FilterField(zap.String("key", "servers/i-1")).Len())
	})
}

// TestRefusalsEndWithTheirEntries guards against a list of refused entries that grows for as long as the
// process runs: deletions are not seen that fell into history which the store has compacted.
func TestRefusalsEndWithTheirEntries(t *testing.T) {
	r, logged := newObservedRefusals()
	for i := range 100 {
		r.add(fmt.Sprintf("servers/i-%d", i), 1, errors.New("address has port 0"))
	}
	r.add("op/wave/1", 1, errors.New("maxCount is 0"))
	r.retain("servers/", []ledger.Item{{Key: "servers/i-7"}, {Key: "servers/i-100"}})
	assert.Len(t, r.refused, 2)
	assert.Equal(t, 99, logged.FilterMessage("entry-accepted").Len())
}
