package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

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

// acquireLock tries to get the owner's lock for a new term. If the answer to an election was lost, it
// takes the term that was won. It returns nil if another daemon is the owner.
func (n *Node) acquireLock(ctx context.Context, lease ledger.LeaseID) (*ledger.Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	l, revision, held, err := ledger.ReadLock(ctx, n.store)
	if err != nil {
		return nil, err
	}
	switch {
	case held && l.Lease == lease && l.Term > n.lastTerm.Load():
		return ledger.Resume(ctx, n.store, l, revision)
	case held && l.Node == n.settings.Node:
		// Left by an earlier process of this daemon, which has certainly ended, as an instance
		// runs only one; or by a term of this process that could not release it. The runs of
		// either are those of an earlier owner, so the new term needs a number of its own.
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
