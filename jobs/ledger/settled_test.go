package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// settledShards divides start times by worker into the shards of the record.
func settledShards(startedMs map[owner.WorkerID]int64) []map[owner.WorkerID]int64 {
	out := make([]map[owner.WorkerID]int64, owner.SettledShards)
	for shard := range out {
		out[shard] = map[owner.WorkerID]int64{}
	}
	for id, ms := range startedMs {
		out[owner.SettledShard(id)][id] = ms
	}
	return out
}

// TestSettledIncarnationsRoundTrip: the next owner loads the start times that the last one has stored.
func TestSettledIncarnationsRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		snap, err := ledger.Load(ctx, s)
		require.NoError(t, err)
		assert.Empty(t, snap.Settled)
		term := elect(t, s, "d1")
		stored := map[owner.WorkerID]int64{"not-reported": 0, "<odd> & \"quoted\"": -7, "largest": math.MaxInt64}
		for n := range 100 {
			stored[owner.WorkerID(fmt.Sprintf("w-%d", n))] = 1_900_000_000_000 + int64(n)
		}
		for shard, startedMs := range settledShards(stored) {
			require.NoError(t, term.Write(ctx, []ledger.Put{ledger.SettledPut(shard, startedMs)}, nil, nil))
		}
		snap, err = ledger.Load(ctx, s)
		require.NoError(t, err)
		assert.Equal(t, stored, snap.Settled)
		assert.Empty(t, snap.Refused)
	})
}

// TestInvalidSettledShardIsRefusedAlone: the incarnations of an invalid shard are not known to be settled, and
// those of the others are.
func TestInvalidSettledShardIsRefusedAlone(t *testing.T) {
	const good = owner.WorkerID("w-1")
	bad := owner.WorkerID("")
	for n := 2; bad == "" || owner.SettledShard(bad) == owner.SettledShard(good); n++ {
		bad = owner.WorkerID(fmt.Sprintf("w-%d", n))
	}
	key := ledger.SettledKey(owner.SettledShard(bad))
	for name, item := range map[string]ledger.Put{
		"no JSON":             {Key: key, Value: []byte("\xff")},
		"other type":          {Key: key, Value: []byte(`[7]`)},
		"number too large":    {Key: key, Value: fmt.Appendf(nil, `{%q:1e30}`, bad)},
		"time as text":        {Key: key, Value: fmt.Appendf(nil, `{%q:"7"}`, bad)},
		"no worker":           {Key: key, Value: []byte(`{"":7}`)},
		"worker of a shard":   {Key: key, Value: fmt.Appendf(nil, `{%q:1,%q:7}`, bad, good)},
		"shard out of range":  {Key: "settled/10", Value: fmt.Appendf(nil, `{%q:7}`, bad)},
		"shard of other form": {Key: "settled/" + key[len(key)-1:], Value: fmt.Appendf(nil, `{%q:7}`, bad)},
		"no shard":            {Key: "settled/", Value: fmt.Appendf(nil, `{%q:7}`, bad)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := jobfleet.NewStore()
				put := ledger.SettledPut(owner.SettledShard(good), map[owner.WorkerID]int64{good: 5})
				store.Put(put.Key, put.Value)
				store.Put(item.Key, item.Value)
				snap, err := ledger.Load(context.Background(), store.Client("d", &jobfleet.Gate{}, noFailure))
				require.NoError(t, err)
				assert.Equal(t, map[owner.WorkerID]int64{good: 5}, snap.Settled)
				require.Len(t, snap.Refused, 1)
				assert.Equal(t, item.Key, snap.Refused[0].Key)
				assert.NotContains(t, snap.Settled, bad)
			})
		})
	}
}

// TestSettledShardOfALargeFleetFits: the shards of 13,000 workers with long IDs are far smaller than the values
// that the store accepts, 1 MiB.
func TestSettledShardOfALargeFleetFits(t *testing.T) {
	startedMs := map[owner.WorkerID]int64{}
	for n := range 13_000 {
		startedMs[owner.WorkerID(fmt.Sprintf("i-%032x", n))] = 1_900_000_000_000
	}
	for shard, workers := range settledShards(startedMs) {
		value := ledger.SettledPut(shard, workers).Value
		assert.Less(t, len(value), 1<<20/8)
		assert.True(t, json.Valid(value))
	}
}
