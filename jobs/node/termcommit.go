package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// commit starts the next transaction if one is due: records and other puts, and the deletion of expired jobs.
func (t *termRun) commit(now time.Time) {
	if t.committing || now.Sub(t.lastCommit) < commitInterval && t.core.DirtyJobs() < commitBacklog && !t.core.HasUrgentRecords() {
		return
	}
	t.reserveTerm(now)
	puts := nextPuts(t.pendingPuts, ledger.MaxWriteEntries)
	records := t.core.PendingRecords(ledger.MaxWriteEntries - len(puts))
	if t.isolating > 0 {
		puts, records = firstOf(puts, records)
	}
	records, recordPuts, deletes := t.encodeRecords(records, now)
	nothingToWrite := len(records)+len(puts)+t.orders.pendingCount() == 0
	if nothingToWrite && !t.removalsDue(now) {
		return
	}
	room := ledger.MaxWriteEntries - len(puts)
	if t.isolating > 0 && !nothingToWrite {
		room = 0
	}
	for _, r := range records {
		room -= r.TxnEntries()
	}
	removals := t.nextRemovals(room/ledger.KeysPerJob, now)
	for _, id := range removals {
		deletes = append(deletes, ledger.JobKeys(id)...)
	}
	if nothingToWrite && len(deletes) == 0 {
		return
	}
	pending := pendingPuts{len(t.pendingPuts), slices.Clone(puts)}
	puts = append(puts, recordPuts...)
	t.committing = true
	t.lastCommit = now
	orders := t.orders.take(now)
	go t.writeTxn(puts, deletes, records, pending, orders, t.orders.recent(now), len(removals))
}

// maxRemovals is the largest number of ended jobs that one transaction removes.
const maxRemovals = ledger.MaxWriteEntries / ledger.KeysPerJob

// removalsDue reports whether ended jobs are to be removed although nothing else is to be written: a whole transaction
// of them, or fewer now and then, as each call to the store has its price.
func (t *termRun) removalsDue(now time.Time) bool {
	waiting := len(t.removals) + t.core.ExpiredJobs(maxRemovals, now)
	return waiting >= maxRemovals || waiting > 0 && now.Sub(t.lastExpire) >= expireInterval
}

// nextRemovals returns the ended jobs that the next transaction removes, limit at most. They stay in t.removals until it
// is stored.
func (t *termRun) nextRemovals(limit int, now time.Time) []job.ID {
	if missing := limit - len(t.removals); missing > 0 {
		t.removals = append(t.removals, t.core.RemoveExpired(missing, now)...)
	}
	out := t.removals[:min(max(0, limit), len(t.removals))]
	if len(out) > 0 {
		t.lastExpire = now
	}
	return out
}

// encodeRecords returns the records that the store accepts, and the puts and deletes that store them. The core is told of
// the others.
func (t *termRun) encodeRecords(records []owner.Record, now time.Time) (writable []owner.Record, puts []ledger.Put, deletes []string) {
	limit := t.n.settings.MaxValueBytes
	for _, r := range records {
		p, d := ledger.RecordWrites(r)
		if size := largestValue(p); limit > 0 && size > limit {
			t.core.OnUnwritable(r, fmt.Sprintf("it has %d bytes, the store accepts %d", size, limit), now)
			continue
		}
		writable = append(writable, r)
		puts = append(puts, p...)
		deletes = append(deletes, d...)
	}
	return writable, puts, deletes
}

// largestValue returns the size of the largest value in bytes.
func largestValue(puts []ledger.Put) int {
	size := 0
	for _, p := range puts {
		size = max(size, len(p.Value))
	}
	return size
}

// firstOf returns only the first of the puts or, without puts, of the records. Transactions contain one of them after the
// store has rejected several, so that those that it accepts are stored.
func firstOf(puts []ledger.Put, records []owner.Record) ([]ledger.Put, []owner.Record) {
	if len(puts) > 0 {
		return puts[:1], nil
	}
	return nil, records[:min(1, len(records))]
}

// onRejected handles a transaction that the store rejects as invalid. If it had one item, that is not written again.
func (t *termRun) onRejected(c *owner.Core, records []owner.Record, pending pendingPuts, err error, now time.Time) {
	t.n.log.Error("transaction-rejected", zap.Error(err), zap.Strings("values", describeValues(records, pending.written)))
	switch items := len(records) + len(pending.written); {
	case items > 1:
		t.isolating = items
	case len(records) == 1:
		c.OnUnwritable(records[0], "the store rejects it", now)
	case len(pending.written) == 1:
		t.pendingPuts = dropWritten(t.pendingPuts, pending.count, pending.written)
	}
}

// describeValues returns the keys and sizes of the values, for the log.
func describeValues(records []owner.Record, puts []ledger.Put) []string {
	for _, r := range records {
		p, _ := ledger.RecordWrites(r)
		puts = append(slices.Clip(puts), p...)
	}
	var out []string
	for _, p := range puts {
		out = append(out, fmt.Sprintf("%s: %d bytes", p.Key, len(p.Value)))
	}
	return out
}

// reserveTerm adds the put that reserves the next term, if the core will need its run numbers or fencing token.
func (t *termRun) reserveTerm(now time.Time) {
	number, needed := t.core.TermToReserve()
	if !needed || number == t.reservingTerm || now.Sub(t.reservingTermAt) < ledger.MinReserveInterval {
		return
	}
	t.reservingTerm, t.reservingTermAt = number, now
	t.n.log.Info("term-reserved", zap.Uint64("term", t.term.Number), zap.Uint64("reserved", number))
	t.pendingPuts = append(t.pendingPuts, ledger.ReserveTerm(number))
}

// pendingPuts are the pending puts as a transaction was made: their count, and those that it contains.
type pendingPuts struct {
	count   int
	written []ledger.Put
}

// nextPuts returns the puts for the next transaction, limit at most: the last put of each key, those of the keys first
// that have waited longest.
func nextPuts(pending []ledger.Put, limit int) []ledger.Put {
	var out []ledger.Put
	index := map[string]int{}
	for _, p := range pending {
		i, known := index[p.Key]
		switch {
		case known:
			out[i] = p
		case len(out) < limit:
			index[p.Key] = len(out)
			out = append(out, p)
		}
	}
	return out
}

// dropWritten removes the puts of written keys from the first n pending puts. Later ones were added while the transaction
// was in flight, and still have to be written.
func dropWritten(pending []ledger.Put, n int, written []ledger.Put) []ledger.Put {
	isWritten := func(p ledger.Put) bool {
		return slices.ContainsFunc(written, func(w ledger.Put) bool { return w.Key == p.Key })
	}
	return append(slices.DeleteFunc(slices.Clone(pending[:n]), isWritten), pending[n:]...)
}

// writeTxn commits a transaction and sends its outcome to the core. Orders for instances are
// sent only after it has recorded them.
func (t *termRun) writeTxn(puts []ledger.Put, deletes []string, records []owner.Record, pending pendingPuts, orders []owner.InstanceOrder, recent []owner.RecentOrder, removed int) {
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
			if verdict.CodeOf(err) == ledger.CodeStoreRejected {
				t.onRejected(c, records, pending, err, now)
			}
			return
		}
		t.isolating = max(0, t.isolating-1)
		t.pendingPuts = dropWritten(t.pendingPuts, pending.count, pending.written)
		t.removals = slices.Clone(t.removals[removed:])
		for _, p := range pending.written {
			if number, ok := p.ReservedTerm(); ok {
				c.OnTermReserved(number)
			}
		}
		c.OnCommitted(records, now)
		if t.isLeaving() {
			t.rejectInstanceOrders(c, orders, now)
			return
		}
		t.sendInstanceOrders(orders)
	})
}
