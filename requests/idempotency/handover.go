package idempotency

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// Transfer hands one partition over to its new owner.
type Transfer struct {
	Epoch     fleet.Epoch // of the view that made To the owner
	From, To  fleet.Incarnation
	Partition Partition
	// Complete is true if Claims is complete from Since on; otherwise claims may
	// be missing.
	Complete bool
	Since    time.Time
	Claims   []Claim
}

// SetView switches to a newer view. It removes the partitions that this daemon no
// longer owns and returns them to be handed over.
func (t *Table) SetView(now time.Time, v *fleet.View) []Transfer {
	old := t.view
	t.view = v
	t.viewSetAt = now
	t.servingSince = time.Time{}
	var out []Transfer
	for p := range Partition(PartitionCount) {
		owner := Owner(v, p)
		part := t.partitions[p]
		switch {
		case owner == t.self && part == nil:
			t.partitions[p] = t.newPartition(old, v, p)
		case owner == t.self:
			t.revalidate(old, v, p, part)
		case owner != t.self && part != nil:
			out = append(out, t.export(p, owner))
		}
		if part = t.partitions[p]; part != nil {
			part.soleOwner = t.soleOwner(v, p)
		}
	}
	return out
}

// soleOwner reports whether this daemon owned p under all unretired views.
func (t *Table) soleOwner(v *fleet.View, p Partition) bool {
	for _, old := range v.Unretired {
		if rendezvous.Owner(old.Members, partitionKey(p)) != t.self {
			return false
		}
	}
	return true
}

// newPartition returns a partition that this daemon owns from view v on. The first
// view has no previous owner to wait for.
func (t *Table) newPartition(old, v *fleet.View, p Partition) *partition {
	part := &partition{claims: map[Key]*Claim{}, ownedSince: v.Epoch}
	if v.Epoch == 1 {
		part.ready = true
		return part
	}
	part.previousOwner = previousOwner(old, v, p)
	return part
}

// revalidate updates a partition that this daemon owned under its last view and
// owns under v. If it missed views in between, another daemon may have owned the
// partition under them; then it is complete only with that daemon's table.
func (t *Table) revalidate(old, v *fleet.View, p Partition, part *partition) {
	missed := v.Epoch - old.Epoch - 1
	if missed == 0 {
		return
	}
	prev := previousOwner(old, v, p)
	if missed == 1 && prev == t.self {
		return
	}
	part.ready = false
	part.previousOwner = prev
	part.ownedSince = v.Epoch
}

// previousOwner returns the owner of p under the view before v. A daemon that
// missed that view finds its members in v's list of unretired views.
func previousOwner(old, v *fleet.View, p Partition) fleet.Incarnation {
	prev := old.Incarnations()
	if old.Epoch != v.Epoch-1 {
		prev = lastUnretired(v)
	}
	return rendezvous.Owner(prev, partitionKey(p))
}

// partitionKey returns the key of p for rendezvous hashing.
func partitionKey(p Partition) string { return "partition/" + strconv.Itoa(int(p)) }

// lastUnretired returns the members of the newest unretired view before v.
func lastUnretired(v *fleet.View) []fleet.Incarnation {
	if len(v.Unretired) == 0 {
		return nil
	}
	return v.Unretired[len(v.Unretired)-1].Members
}

// export removes partition p from the table and returns its transfer to the new
// owner.
func (t *Table) export(p Partition, to fleet.Incarnation) Transfer {
	part := t.partitions[p]
	delete(t.partitions, p)
	tr := Transfer{Epoch: t.view.Epoch, From: t.self, To: to, Partition: p, Complete: part.ready, Since: part.completeSince}
	for _, c := range part.claims {
		tr.Claims = append(tr.Claims, *c)
		t.uncount(c)
	}
	slices.SortFunc(tr.Claims, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return tr
}

// uncount subtracts c from the table's counters.
func (t *Table) uncount(c *Claim) {
	t.claimCount--
	if c.Answer != nil {
		t.answerBytes -= c.Answer.size()
	}
}

// StartServing records that this daemon serves the current view from now on. Later
// calls under the same view have no effect.
func (t *Table) StartServing(now time.Time) {
	if t.servingSince.IsZero() {
		t.servingSince = now
	}
}

// Receive adds a partition that was handed over. It returns false if this daemon
// doesn't own it, so that the sender tries the owner under a newer view.
//
// Claims are merged from any sender. Completeness is accepted only from the
// immediately preceding owner.
func (t *Table) Receive(tr Transfer) bool {
	part := t.partitions[tr.Partition]
	if part == nil {
		return false
	}
	for _, c := range tr.Claims {
		t.merge(part, c)
	}
	if tr.Complete && tr.Epoch >= part.ownedSince && tr.From == part.previousOwner {
		// A table that arrives after HandoverWait is still accepted: until then the
		// keys that it may contain were refused, not granted.
		part.completeSince = tr.Since
		part.ready = true
		part.previousOwner = ""
	}
	return true
}
