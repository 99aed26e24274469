package node

import (
	"context"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
)

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
	n.refusedEntries.retain(ledger.PrefixMembers, items)
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
