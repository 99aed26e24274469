package once

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// Transfer hands one partition to its next owner.
type Transfer struct {
	Epoch     fleet.Epoch // of the view that made To the owner
	From, To  fleet.Incarnation
	Partition Partition
	// Complete tells that Since holds; otherwise the claims are only hints.
	Complete bool
	Since    time.Time
	Claims   []Claim
}

// SetView puts a newer view in force. It returns the partitions to hand over;
// they are no longer served here.
func (t *Table) SetView(now time.Time, v *fleet.View) []Transfer {
	old := t.view
	t.view = v
	t.viewSetAt = now
	t.servingSince = time.Time{}
	var out []Transfer
	for p := range Partition(PartitionCount) {
		owner := Owner(v, p)
		mine := t.partitions[p]
		switch {
		case owner == t.self && mine == nil:
			t.partitions[p] = t.newPartition(old, v, p)
		case owner == t.self:
			t.revalidate(old, v, p, mine)
		case owner != t.self && mine != nil:
			out = append(out, t.export(p, owner))
		}
		if mine = t.partitions[p]; mine != nil {
			mine.soleOwner = t.soleOwner(v, p)
		}
	}
	return out
}

func (t *Table) soleOwner(v *fleet.View, p Partition) bool {
	for _, old := range v.Unretired {
		if rendezvous.Owner(old.Members, partitionKey(p)) != t.self {
			return false
		}
	}
	return true
}

// newPartition prepares a partition that this daemon owns from view v on. The
// first view of all has nothing to wait for.
func (t *Table) newPartition(old, v *fleet.View, p Partition) *partition {
	n := &partition{claims: map[Key]*Claim{}, ownedSince: v.Epoch}
	if v.Epoch == 1 {
		n.ready = true
		return n
	}
	n.previousOwner = previousOwner(old, v, p)
	return n
}

// revalidate keeps a partition that this daemon owned before and owns again.
// Where views in between were missed, another daemon may have owned it there,
// and the table is only complete once that one's has come.
func (t *Table) revalidate(old, v *fleet.View, p Partition, mine *partition) {
	missed := v.Epoch - old.Epoch - 1
	if missed == 0 {
		return
	}
	prev := previousOwner(old, v, p)
	if missed == 1 && prev == t.self {
		return
	}
	mine.ready = false
	mine.previousOwner = prev
	mine.ownedSince = v.Epoch
}

// previousOwner returns who owned p in the view before v. A daemon that missed
// that view finds its members in v's own list of unretired views.
func previousOwner(old, v *fleet.View, p Partition) fleet.Incarnation {
	prev := old.Incarnations()
	if old.Epoch != v.Epoch-1 {
		prev = lastUnretired(v)
	}
	return rendezvous.Owner(prev, partitionKey(p))
}

func partitionKey(p Partition) string { return "partition/" + strconv.Itoa(int(p)) }

func lastUnretired(v *fleet.View) []fleet.Incarnation {
	if len(v.Unretired) == 0 {
		return nil
	}
	return v.Unretired[len(v.Unretired)-1].Members
}

func (t *Table) export(p Partition, to fleet.Incarnation) Transfer {
	mine := t.partitions[p]
	delete(t.partitions, p)
	tr := Transfer{Epoch: t.view.Epoch, From: t.self, To: to, Partition: p, Complete: mine.ready, Since: mine.completeSince}
	for _, c := range mine.claims {
		tr.Claims = append(tr.Claims, *c)
		t.uncount(c)
	}
	slices.SortFunc(tr.Claims, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return tr
}

// uncount takes c out of the counts.
func (t *Table) uncount(c *Claim) {
	t.claimCount--
	if c.Answer != nil {
		t.answerBytes -= c.Answer.size()
	}
}

// StartServing notes that the view is served here from now on.
func (t *Table) StartServing(now time.Time) {
	if t.servingSince.IsZero() {
		t.servingSince = now
	}
}

// Receive takes in a partition handed over. It reports false if it is not this
// daemon's, so that the sender tries the owner of a newer view.
//
// Claims are knowledge and always welcome. The completeness is taken over only
// from the owner that this daemon follows directly.
func (t *Table) Receive(tr Transfer) bool {
	mine := t.partitions[tr.Partition]
	if mine == nil {
		return false
	}
	for _, c := range tr.Claims {
		t.merge(mine, c)
	}
	if tr.Complete && tr.Epoch >= mine.ownedSince && tr.From == mine.previousOwner {
		// A table that was given up on and arrives late still completes ours:
		// what was unknown meanwhile was refused, never run.
		mine.completeSince = tr.Since
		mine.ready = true
		mine.previousOwner = ""
	}
	return true
}
