package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// keepLease holds a lease in the store, and this daemon's member entry attached to it.
func (n *Node) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case n.lease.Load() != 0:
			n.renewLease(ctx)
		case !n.stopping.Load():
			n.grantLease(ctx)
		}
		if !sleep.For(ctx, n.leaseInterval()) {
			return
		}
	}
}

// leaseInterval returns the time until the next attempt to get or renew the lease. It is
// short after a failed call, so that one lost answer does not let the lease expire.
func (n *Node) leaseInterval() time.Duration {
	since := time.Duration(n.uptimeNanos() - n.leaseRenewedAt.Load())
	if n.lease.Load() == 0 || since > renewInterval {
		return retryPause
	}
	return renewInterval
}

func (n *Node) grantLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	askedAt := n.uptimeNanos()
	id, err := n.store.GrantLease(ctx, max(storeLease, n.settings.MinStoreLease))
	if err != nil {
		return // logged by onStoreFailure; keepLease retries
	}
	n.writeMemberEntry(ctx, id)
	n.leaseRenewedAt.Store(askedAt)
	n.lease.Store(int64(id))
	n.log.Info("lease-granted", zap.Int64("lease", int64(id)))
	n.wakeElection()
}

// writeMemberEntry writes this daemon's entry to the store, attached to its lease.
func (n *Node) writeMemberEntry(ctx context.Context, id ledger.LeaseID) {
	key := ledger.PrefixMembers + n.settings.Node
	_, err := n.store.Commit(ctx, ledger.Txn{Puts: []ledger.Put{{Key: key, Value: ledger.EncodeMember(n.memberEntry()), Lease: id}}})
	if err != nil {
		n.log.Warn("member-entry-write-failed", zap.Error(err))
	}
}

func (n *Node) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	id := ledger.LeaseID(n.lease.Load())
	askedAt := n.uptimeNanos()
	alive, err := n.store.KeepAlive(ctx, id)
	switch {
	case err != nil: // logged by onStoreFailure
	case alive:
		n.leaseRenewedAt.Store(askedAt)
	default:
		n.log.Warn("lease-ended", zap.Int64("lease", int64(id)))
		n.lease.Store(0)
		n.endTermUnder(id)
	}
}

// endTermUnder ends the term whose lock is attached to the expired lease, if there is one. The
// store has removed the lock with the lease, even if the watch has not reported that yet.
func (n *Node) endTermUnder(id ledger.LeaseID) {
	if t := n.term.Load(); t != nil && t.lease == id {
		t.depose("the lease of its lock has expired")
	}
}

// pollMembers reads the list of live daemons every membersInterval.
func (n *Node) pollMembers(ctx context.Context) {
	for ctx.Err() == nil {
		n.listMembers(ctx)
		n.yieldToPeerWithMoreCPU()
		if !sleep.For(ctx, membersInterval) {
			return
		}
	}
}

// listMembers reads the list of live daemons and reports whether that succeeded.
func (n *Node) listMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, _, err := ledger.RangeAll(ctx, n.store, ledger.PrefixMembers, true)
	if err != nil || len(items) == 0 {
		return false // logged by onStoreFailure; the old list stays in use
	}
	var list []ledger.Member
	for _, i := range items {
		m, err := ledger.DecodeMember(i)
		if err != nil {
			n.refusedEntries.add(i.Key, i.Revision, err)
			continue
		}
		n.refusedEntries.remove(i.Key)
		list = append(list, m)
	}
	n.members.Store(&list)
	return true
}

// yieldToPeerWithMoreCPU releases the lock if this daemon is the owner, another one has more CPU,
// and a change of owner pays off: no job is open, this daemon is short of CPU, or it has far
// less CPU than the other.
func (n *Node) yieldToPeerWithMoreCPU() {
	t := n.term.Load()
	if t == nil || !n.hasPeerWithMoreCPU(electionCPUFactor) {
		return
	}
	reason := ""
	switch {
	case t.idle.Load():
		reason = "no job is open"
	case t.cpuStarved.Load():
		reason = "the owner is short of CPU"
	case n.hasPeerWithMoreCPU(yieldCPUFactor):
		reason = "the owner has far too little CPU"
	default:
		return
	}
	n.log.Info("yield", zap.Uint64("term", t.term.Number), zap.String("why", reason+", and another daemon has more CPU"))
	if !t.handOver() && !t.idle.Load() && !n.store.Unavailable() {
		n.revokeLease() // the store removes the lock with it
	}
}

// yieldIfPartitioned releases the lock if this daemon has been partitioned from the
// store for partitionedYieldAfter while other daemons reach it.
func (n *Node) yieldIfPartitioned(t *termRun) {
	partitioned := n.store.PartitionedFor()
	if partitioned < partitionedYieldAfter || t.isLeaving() {
		return
	}
	n.log.Info("yield", zap.Uint64("term", t.term.Number), zap.String("why", "the owner is partitioned from the store, and other daemons reach it"), zap.Duration("partitioned-for", partitioned))
	go t.handOver()
}

// prefixWatch describes a watch of all keys with a prefix.
type prefixWatch struct {
	prefix      string
	minInterval time.Duration      // minimum time between two watch calls that return all changes
	reset       func()             // if set, called before all keys are applied
	apply       func(ledger.Event) // called for each key, then for each change
	synced      func()             // if set, called when all keys or changes of a reply are applied
}

// watchPrefix reads all keys with a prefix, then every change. It starts over if the store has
// compacted changes that were not read.
func (n *Node) watchPrefix(ctx context.Context, w prefixWatch) {
	for ctx.Err() == nil {
		items, revision, err := n.listPrefix(ctx, w.prefix)
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		callIfSet(w.reset)
		for _, i := range items {
			w.apply(ledger.Event{Item: i})
		}
		callIfSet(w.synced)
		n.watchChanges(ctx, w, revision)
	}
}

// callIfSet calls f unless it is nil.
func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// listPrefix reads all keys with a prefix, and returns the revision from which a watch misses no
// change.
func (n *Node) listPrefix(ctx context.Context, prefix string) ([]ledger.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	return ledger.RangeAll(ctx, n.store, prefix, false)
}

// watchChanges applies the changes after a revision. It returns when ctx ends or the store has
// compacted changes that were not read.
func (n *Node) watchChanges(ctx context.Context, w prefixWatch, revision int64) {
	for ctx.Err() == nil {
		known := n.store.LatestRevision()
		ch, err := n.watchFor(ctx, w.prefix, revision, watchWait)
		if verdict.CodeOf(err) == ledger.CodeCompacted {
			n.log.Warn("history-gone", zap.String("prefix", w.prefix), zap.Int64("after", revision))
			return
		}
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		for _, e := range ch.Events {
			w.apply(e)
		}
		callIfSet(w.synced)
		revision = max(revision, ch.Revision)
		current := ch.Revision >= known // otherwise the reply was truncated, and more changes are available
		if current && len(ch.Events) > 0 && w.minInterval > 0 {
			sleep.For(ctx, w.minInterval)
		}
	}
}

// watchOperators watches the operators' entries: the configuration, waves and evacuations.
func (n *Node) watchOperators(ctx context.Context) {
	n.watchPrefix(ctx, prefixWatch{
		prefix: n.platform.Formats.OperatorPrefix,
		reset:  n.evacuations.beginList,
		apply:  n.applyOperatorEntry,
		synced: n.onOperatorEntriesSynced,
	})
}

func (n *Node) applyOperatorEntry(e ledger.Event) {
	switch {
	case strings.HasPrefix(e.Key, n.platform.Formats.EvacuationPrefix):
		n.applyEvacuationEntry(e)
	case e.Deleted:
		n.refusedEntries.remove(e.Key)
	case e.Key == n.platform.Formats.ConfigKey:
		n.configure(e.Item)
	case strings.HasPrefix(e.Key, n.platform.Formats.WavePrefix):
		n.addWave(e.Item)
	}
}

// configure applies a configuration unless it is older than the current one. An invalid one
// leaves the current one in force.
func (n *Node) configure(i ledger.Item) {
	c, err := n.platform.Formats.DecodeCatalog(i.Value)
	if err != nil {
		n.refusedEntries.add(i.Key, i.Revision, err)
		return
	}
	n.refusedEntries.remove(i.Key)
	if old := n.catalog.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.catalog.Store(c)
	n.wakeElection()
	n.log.Info("configuration-applied", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
	if t := n.term.Load(); t != nil {
		t.enqueue(func(core *owner.Core, _ time.Time) { core.Configure(c) })
	}
}

// addWave adds a maintenance wave that operators have requested.
func (n *Node) addWave(i ledger.Item) {
	w, err := n.platform.Formats.DecodeWave(i.Value)
	if err != nil {
		n.refusedEntries.add(i.Key, i.Revision, err)
		return
	}
	n.refusedEntries.remove(i.Key)
	n.wavesMu.Lock()
	n.waves[w.Wave] = w
	n.wavesMu.Unlock()
	if t := n.term.Load(); t != nil {
		t.enqueue(func(core *owner.Core, now time.Time) { core.OnWave(w, nil, false, now) })
	}
}

// runElections watches who the owner is, and tries to become the owner while there is none.
func (n *Node) runElections(ctx context.Context) {
	var watches sync.WaitGroup
	defer watches.Wait()
	watches.Go(func() { n.watchOwnerLock(ctx) })
	watches.Go(func() { n.watchOwnerProcess(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.electionWake:
		case <-time.After(renewInterval):
		}
		n.tryBecomeOwner(ctx)
	}
}

// watchOwnerLock watches the owner's lock.
func (n *Node) watchOwnerLock(ctx context.Context) {
	n.watchPrefix(ctx, prefixWatch{
		prefix: ledger.PrefixOwner,
		reset:  func() { n.setLock(ledger.Lock{}, false, 0); n.wakeElection() },
		apply:  n.applyLock,
	})
}

func (n *Node) applyLock(e ledger.Event) {
	l, held, ok, err := ledger.DecodeLockEvent(e)
	switch {
	case err != nil: // an invalid lock has no holder; an election replaces it
		n.refusedEntries.add(e.Key, e.Revision, err)
		n.setLock(ledger.Lock{}, false, e.Revision)
	case ok:
		n.refusedEntries.remove(e.Key)
		n.setLock(l, held, e.Revision)
	default:
		return
	}
	n.wakeElection()
}

// wakeElection makes runElections check again whether this daemon can become the owner.
func (n *Node) wakeElection() {
	select {
	case n.electionWake <- struct{}{}:
	default:
	}
}

// setLock records the owner's lock, and ends this daemon's term if the lock is gone or held in
// a newer term. revision is that of the change, 0 if all keys are read again.
func (n *Node) setLock(l ledger.Lock, held bool, revision int64) {
	if !held {
		n.lock.Store(nil)
		n.lockGoneAt.Store(n.uptimeNanos())
	} else {
		n.lock.Store(&l)
	}
	t := n.term.Load()
	if t == nil || revision == 0 {
		return
	}
	if !held && revision > t.term.LockRevision() {
		t.depose("its lock was removed")
	}
	if held && l.Term > t.term.Number {
		t.depose("the lock is held in a newer term")
	}
}

// onLockReleased records that this daemon has released its lock, before the watch reports it,
// so that a daemon with more CPU can be elected first.
func (n *Node) onLockReleased(term uint64) {
	l := n.lock.Load()
	if l == nil || l.Node != n.settings.Node || l.Term != term {
		return // the watch has reported a change already
	}
	n.lockGoneAt.Store(n.uptimeNanos())
	n.lock.CompareAndSwap(l, nil)
}

// tryBecomeOwner tries to become the owner if there is none, and runs the term if it succeeds.
func (n *Node) tryBecomeOwner(ctx context.Context) {
	if n.stopping.Load() || n.term.Load() != nil || n.lease.Load() == 0 || n.catalog.Load() == nil {
		return
	}
	lease := ledger.LeaseID(n.lease.Load())
	l := n.lock.Load()
	if l != nil && l.Lease != lease && l.Node != n.settings.Node {
		return
	}
	if left := lowCPUElectionDelay - time.Duration(n.uptimeNanos()-n.lockGoneAt.Load()); l == nil && left > 0 && n.hasPeerWithMoreCPU(electionCPUFactor) {
		time.AfterFunc(left, n.wakeElection)
		return
	}
	if left := partitionedElectionDelay - time.Duration(n.uptimeNanos()-n.lockGoneAt.Load()); l == nil && left > 0 && n.store.PartitionedFor() > 0 {
		time.AfterFunc(left, n.wakeElection)
		return
	}
	term, err := n.acquireLock(ctx, lease)
	if err != nil {
		n.log.Warn("election-failed", zap.Error(err))
		return
	}
	if term == nil {
		return
	}
	n.log.Info("owner", zap.Uint64("term", term.Number))
	n.runTerm(ctx, term, lease)
}

// acquireLock tries to get the owner's lock for a new term, or resumes the term whose lock is
// attached to the lease. It returns nil if another daemon is the owner.
func (n *Node) acquireLock(ctx context.Context, lease ledger.LeaseID) (*ledger.Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	l, revision, held, err := ledger.ReadLock(ctx, n.store)
	if err != nil {
		return nil, err
	}
	switch {
	case held && l.Lease == lease:
		return ledger.Resume(ctx, n.store, l, revision)
	case held && l.Node == n.settings.Node:
		// Left by an earlier process of this daemon, which has certainly ended: an instance
		// runs only one.
		term, err := ledger.Elect(ctx, n.store, n.memberEntry(), lease, revision)
		if term != nil {
			term.SucceedsSelf = true
		}
		return term, err
	case held:
		return nil, nil
	}
	return ledger.Elect(ctx, n.store, n.memberEntry(), lease, revision)
}
