package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

const (
	// settledInterval is how long a change of the settled incarnations waits for a transaction that is made
	// anyway, and the minimum time between two writes of one shard.
	settledInterval = 2 * time.Second
	// maxSettledPuts is the largest number of shards in one transaction, which leaves room for records.
	maxSettledPuts = 4
)

// takeSettled adds the puts of changed shards of the settled incarnations for the next transaction, if there is
// one anyway or a change has waited for settledInterval.
func (t *termRun) takeSettled(now time.Time) {
	by := now
	if len(t.pendingPuts)+t.core.DirtyJobs()+t.orders.pendingCount() == 0 && !t.removalsDue(now) {
		by = now.Add(-settledInterval)
	}
	taken := 0
	for _, shard := range t.core.ChangedSettledShards(by) {
		if taken < maxSettledPuts && now.Sub(t.settledTakenAt[shard]) >= settledInterval && !t.isPending(ledger.SettledKey(shard)) {
			t.takeSettledShard(shard, now)
			taken++
		}
	}
}

// takeAllSettled adds the puts of all changed shards, for the last transaction of the term.
func (t *termRun) takeAllSettled(now time.Time) {
	for _, shard := range t.core.ChangedSettledShards(now) {
		t.takeSettledShard(shard, now)
	}
}

func (t *termRun) isPending(key string) bool {
	return slices.ContainsFunc(t.pendingPuts, func(p ledger.Put) bool { return p.Key == key })
}

// takeSettledShard adds the put of a shard, unless its value is too large for the store.
func (t *termRun) takeSettledShard(shard int, now time.Time) {
	t.settledTakenAt[shard] = now
	put := ledger.SettledPut(shard, t.core.TakeSettledShard(shard))
	if limit := t.n.settings.MaxValueBytes; limit > 0 && len(put.Value) > limit {
		t.n.log.Error("settled-too-large", zap.String("key", put.Key), zap.Int("bytes", len(put.Value)), zap.Int("limit", limit))
		return
	}
	t.pendingPuts = append(t.pendingPuts, put)
}
