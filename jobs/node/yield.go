package node

import (
	"go.uber.org/zap"
)

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
