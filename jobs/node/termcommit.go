package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// commit starts the next transaction if one is due: records and other puts, or else the
// deletion of expired jobs.
func (t *termRun) commit(now time.Time) {
	if t.committing || now.Sub(t.lastCommit) < commitInterval && t.core.DirtyJobs() < commitBacklog && !t.core.HasUrgentRecords() {
		return
	}
	puts := latestPutPerKey(t.pendingPuts)
	var deletes []string
	if len(puts) > ledger.MaxWriteEntries {
		puts = puts[:ledger.MaxWriteEntries]
	}
	records := t.core.PendingRecords(ledger.MaxWriteEntries - len(puts))
	if len(records)+len(puts)+t.orders.pendingCount() == 0 {
		if now.Sub(t.lastExpire) < expireInterval {
			return
		}
		t.lastExpire = now
		for _, id := range t.core.RemoveExpired(ledger.MaxWriteEntries/3, now) {
			deletes = append(deletes, ledger.JobKeys(id)...)
		}
		if len(deletes) == 0 {
			return
		}
	}
	putsTaken := len(t.pendingPuts)
	for _, r := range records {
		p, d := ledger.RecordWrites(r)
		puts = append(puts, p...)
		deletes = append(deletes, d...)
	}
	t.committing = true
	t.lastCommit = now
	orders := t.orders.take(now)
	go t.writeTxn(puts, deletes, records, putsTaken, orders, t.orders.recent(now))
}

// latestPutPerKey returns the last put of each key.
func latestPutPerKey(puts []ledger.Put) []ledger.Put {
	var out []ledger.Put
	seen := map[string]bool{}
	for i := len(puts) - 1; i >= 0; i-- {
		if !seen[puts[i].Key] {
			seen[puts[i].Key] = true
			out = append(out, puts[i])
		}
	}
	return out
}

// writeTxn commits a transaction and sends its outcome to the core. Orders for instances are
// sent only after it has recorded them.
func (t *termRun) writeTxn(puts []ledger.Put, deletes []string, records []owner.Record, putsTaken int, orders []owner.InstanceOrder, recent []owner.RecentOrder) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	began := t.n.clock.Now()
	err := t.term.Write(ctx, puts, deletes, recent)
	t.n.metrics.commit(err, t.n.clock.Now().Sub(began))
	if verdict.CodeOf(err) == ledger.CodeNotOwner {
		t.depose(err.Error())
		return
	}
	if err != nil {
		t.n.log.Warn("progress-write-failed", zap.Error(err))
		sleep.For(t.ctx, retryPause)
	}
	t.enqueue(func(c *owner.Core, now time.Time) {
		t.committing = false
		if err != nil {
			t.rejectInstanceOrders(c, orders, now)
			return
		}
		t.pendingPuts = t.pendingPuts[putsTaken:]
		c.OnCommitted(records, now)
		if t.isLeaving() {
			t.rejectInstanceOrders(c, orders, now)
			return
		}
		t.sendInstanceOrders(orders)
	})
}
