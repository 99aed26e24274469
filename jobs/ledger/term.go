package ledger

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// CodeNotOwner means that this daemon is no longer the owner.
const CodeNotOwner verdict.Code = "not-the-owner"

// Term is this daemon's term as the owner, which entitles it to write progress. All its
// transactions have the lock's revision as a condition. Writes must not run concurrently. Release may be
// called while a Write waits for its answer.
type Term struct {
	Number uint64
	// SucceedsSelf says that the previous owner was an earlier incarnation of this daemon.
	SucceedsSelf bool
	// PriorOrders are the orders that the previous owner may have sent within the last
	// seconds of its term.
	PriorOrders []owner.RecentOrder
	// PriorOrdersUnknown says that PriorOrders could not be read.
	PriorOrdersUnknown bool
	// PriorLeaseRevoked says that another daemon has revoked the lease of one of the last owners, which may
	// not know that yet.
	PriorLeaseRevoked bool

	store Store
	lock  Condition

	mu               sync.Mutex // guards the fields below
	sequence         int64      // revision of keySequence that the next transaction requires
	lastWriteUnknown bool       // the last write's answer was lost, or is still awaited
	writes           uint64
}

// sequenceValue is the value of keySequence. Term and Write identify the last transaction that
// was committed. Orders are the orders for instances that the owner may have sent in the last
// seconds. An order is sent only after a transaction that contains it, so that the next owner
// knows all of them.
type sequenceValue struct {
	Term   uint64
	Write  uint64
	Orders []orderRecord `json:",omitempty"`
}

// orderRecord is the stored form of an owner.RecentOrder. Its JSON names are short, as every
// transaction repeats a few hundred records while demand shifts between pools.
type orderRecord struct {
	Instance  owner.InstanceID `json:"I"`
	Holder    string           `json:"H"`
	AgeMillis int64            `json:"A"`
}

// nextSequence returns the put of keySequence for the next transaction.
func (t *Term) nextSequence(orders []owner.RecentOrder) Put {
	t.writes++
	v := sequenceValue{Term: t.Number, Write: t.writes}
	for _, o := range orders {
		v.Orders = append(v.Orders, orderRecord{o.Instance, o.Holder, o.Age.Milliseconds()})
	}
	return Put{Key: keySequence, Value: encode(v)}
}

// orders decodes the value's orders.
func (v *sequenceValue) orders() []owner.RecentOrder {
	var out []owner.RecentOrder
	for _, o := range v.Orders {
		out = append(out, owner.RecentOrder{Instance: o.Instance, Holder: o.Holder, Age: time.Duration(o.AgeMillis) * time.Millisecond})
	}
	return out
}

// Elect tries to become the owner. replaced is the revision of a lock to replace, which an
// earlier incarnation of this daemon left or which is not a valid lock; 0 if there is none.
// Elect returns nil if another daemon is the owner.
func Elect(ctx context.Context, s Store, self Member, lease LeaseID, replaced int64) (*Term, error) {
	term, _, err := s.Get(ctx, keyTerm, false)
	if err != nil {
		return nil, err
	}
	number := termNumber(term) + 1
	t := Txn{
		If: []Condition{{Key: keyLock, Revision: replaced}, {Key: keyTerm, Revision: term.Revision}},
		Puts: []Put{
			{Key: keyLock, Value: encode(Lock{Node: self.Node, Addr: self.Addr, Term: number}), Lease: lease},
			{Key: keyTerm, Value: []byte(strconv.FormatUint(number, 10))},
		},
	}
	res, err := s.Commit(ctx, t)
	if err != nil {
		return nil, err
	}
	if res.LeaseGone {
		return nil, verdict.New(verdict.NotRun, CodeStoreUnavailable, "election: lease %d has ended", lease)
	}
	if !res.Committed {
		return nil, nil
	}
	return resume(ctx, s, number, res.Revision)
}

// Resume returns the term of a lock that names this daemon. It is used if an election was won
// but its answer was lost.
func Resume(ctx context.Context, s Store, lock Lock, revision int64) (*Term, error) {
	return resume(ctx, s, lock.Term, revision)
}

func resume(ctx context.Context, s Store, number uint64, lockRevision int64) (*Term, error) {
	type reading struct {
		item Item
		err  error
	}
	revoked := make(chan reading, 1)
	go func() {
		item, _, err := s.Get(ctx, keyRevoked, false)
		revoked <- reading{item, err}
	}()
	seq, _, err := s.Get(ctx, keySequence, false)
	if err != nil {
		return nil, err
	}
	r := <-revoked
	if r.err != nil {
		return nil, r.err
	}
	t := &Term{Number: number, store: s, lock: Condition{keyLock, lockRevision}, sequence: seq.Revision}
	t.PriorLeaseRevoked = r.item.Revision != 0 && termNumber(r.item)+recentTerms >= number
	if seq.Revision != 0 {
		last, err := decode[sequenceValue](seq)
		t.PriorOrdersUnknown = err != nil // not written by an owner; the next write replaces it
		t.PriorOrders = last.orders()
	}
	return t, nil
}

// recentTerms is the number of terms before this one whose owners may still know nothing of the
// revocation of their lease. That takes a store lease of 2 s at most, in which the owner seldom
// changes more than once. Four owners in that time have reserved up to two further terms each.
const recentTerms = 4 * 3

// MinReserveInterval is the minimum time between two reservations of a term.
const MinReserveInterval = time.Second

// RecordRevocation records that another daemon is about to revoke the lease of the lock l. The next owners
// then know that the lease may have ended sooner than its holder can tell.
func RecordRevocation(ctx context.Context, s Store, l Lock) error {
	_, err := s.Commit(ctx, Txn{Puts: []Put{{Key: keyRevoked, Value: []byte(strconv.FormatUint(l.Term, 10))}}})
	return err
}

// termNumber returns the number of the latest term. If the value is not a valid number, it
// returns the value's revision: each term has changed the store at least once, so this is
// higher than the number of any term so far.
func termNumber(i Item) uint64 {
	n, err := strconv.ParseUint(string(i.Value), 10, 64)
	if err != nil || n > uint64(i.Revision) {
		return uint64(i.Revision)
	}
	return n
}

// ReserveTerm returns the put that reserves the owner's next term, for Write: the term of the next owner is a later one.
// Each term is reserved by a write of its own, as termNumber assumes.
func ReserveTerm(number uint64) Put {
	return Put{Key: keyTerm, Value: []byte(strconv.FormatUint(number, 10))}
}

// ReservedTerm returns the term that the put reserves; ok is false if it reserves none.
func (p *Put) ReservedTerm() (number uint64, ok bool) {
	if p.Key != keyTerm {
		return 0, false
	}
	number, err := strconv.ParseUint(string(p.Value), 10, 64)
	return number, err == nil
}

// ReadLock returns the owner's lock; held is false if there is no owner. Then revision is 0, or
// that of an invalid value of the lock's key, which an election replaces.
func ReadLock(ctx context.Context, s Store) (l Lock, revision int64, held bool, err error) {
	item, held, err := s.Get(ctx, keyLock, false)
	if err != nil || !held {
		return Lock{}, 0, held, err
	}
	l, err = decodeLock(item)
	if err != nil {
		return Lock{}, item.Revision, false, nil
	}
	return l, item.Revision, true, nil
}

func decodeLock(i Item) (Lock, error) {
	l, err := decode[Lock](i)
	l.Lease = i.Lease
	if err == nil && (l.Node == "" || l.Addr == "" || l.Term == 0 || l.Lease == 0) {
		err = fmt.Errorf("key %s: invalid lock: node %q, address %q, term %d, lease %d", i.Key, l.Node, l.Addr, l.Term, l.Lease)
	}
	return l, err
}

// DecodeLockEvent decodes an event under PrefixOwner; ok is false if it does not concern the lock.
func DecodeLockEvent(e Event) (l Lock, held, ok bool, err error) {
	if e.Key != keyLock {
		return Lock{}, false, false, nil
	}
	if e.Deleted {
		return Lock{}, false, true, nil
	}
	l, err = decodeLock(e.Item)
	return l, true, true, err
}

// termEntries is the number of entries that Write adds to a transaction: the conditions on the
// lock and the sequence, and the put of the sequence.
const termEntries = 3

// MaxWriteEntries is the largest number of puts and deletes in one Write.
const MaxWriteEntries = MaxTxnEntries - termEntries

// Write applies puts and deletes and records orders if this daemon is still the owner. orders are
// the orders for instances that it has sent recently or is about to send. After an error the
// caller must call Write again, with the same or newer values, until it returns nil or an error
// with CodeNotOwner.
func (t *Term) Write(ctx context.Context, puts []Put, deletes []string, orders []owner.RecentOrder) error {
	if err := t.ensureSequence(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	t.lastWriteUnknown = true
	txn := Txn{
		If:      []Condition{t.lock, {Key: keySequence, Revision: t.sequence}},
		Puts:    append([]Put{t.nextSequence(orders)}, puts...),
		Deletes: deletes,
	}
	t.mu.Unlock()
	res, err := t.store.Commit(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastWriteUnknown = err != nil && verdict.Of(err) != verdict.NotRun
	switch {
	case err != nil:
		return err
	case res.Committed:
		t.sequence = res.Revision
		return nil
	}
	return t.explainRefusal(res)
}

// explainRefusal determines why a transaction was not committed: there is another owner, or an
// earlier transaction of this term arrived late. The caller holds t.mu.
func (t *Term) explainRefusal(res TxnResult) error {
	lockHeld := false
	for _, i := range res.Current {
		switch i.Key {
		case keyLock:
			lockHeld = i.Revision == t.lock.Revision
		case keySequence:
			t.sequence = i.Revision
		}
	}
	if !lockHeld {
		return verdict.New(verdict.NotRun, CodeNotOwner, "term %d has ended", t.Number)
	}
	return verdict.New(verdict.NotRun, CodeStoreUnavailable, "an earlier write of term %d was committed late", t.Number)
}

// ensureSequence reads the sequence's revision if the last write's answer was lost. If that write is
// still in flight, it fails once the next write has changed the sequence.
func (t *Term) ensureSequence(ctx context.Context) error {
	t.mu.Lock()
	unknown := t.lastWriteUnknown
	t.mu.Unlock()
	if !unknown {
		return nil
	}
	item, _, err := t.store.Get(ctx, keySequence, false)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = item.Revision
	t.lastWriteUnknown = false
	return nil
}

// RecordWrites returns the puts and deletes that store a job's progress, r.TxnEntries() in all.
func RecordWrites(r owner.Record) (puts []Put, deletes []string) {
	progress := prefixProgress + string(r.Job.ID)
	if !r.Progress.State.Final() {
		return []Put{{Key: progress, Value: encode(r.Progress)}}, nil
	}
	end := submission{Job: *r.Job, Ended: &EndRecord{r.Progress.State, r.Progress.EndedAt, r.Progress.Cause}}
	end.Payload, end.Settings = "", job.RunSettings{}
	if r.Stored {
		deletes = []string{progress}
	}
	return []Put{{Key: prefixSubmitted + string(r.Job.ID), Value: encode(end)}}, deletes
}

// WavePut returns the put that stores the progress of a wave.
func WavePut(wave int, p WaveProgress) Put {
	return Put{Key: prefixWaves + strconv.Itoa(wave), Value: encode(p)}
}

// WaveProgress is the stored progress of a wave.
type WaveProgress struct {
	Begun []owner.InstanceID
	Done  bool
}

// KeysPerJob is the number of keys that a job may have.
const KeysPerJob = 3

// JobKeys returns all keys that a job may have, KeysPerJob of them.
func JobKeys(id job.ID) []string {
	return []string{prefixSubmitted + string(id), prefixCancelled + string(id), prefixProgress + string(id)}
}

// releaseEntries is the number of entries that Release adds to a transaction: those of Write, and the
// deletion of the lock.
const releaseEntries = termEntries + 1

// MaxReleaseEntries is the largest number of puts and deletes in one Release.
const MaxReleaseEntries = MaxTxnEntries - releaseEntries

// Release ends the term by deleting the lock, so that another daemon can take over immediately. It
// also applies puts and deletes and records orders, as Write does, but only if the outcome of the last
// write is known: its condition on the sequence then keeps a release that is carried out late from
// undoing a newer write. Otherwise it need not wait for the last write, which fails once the lock is
// deleted.
func (t *Term) Release(ctx context.Context, puts []Put, deletes []string, orders []owner.RecentOrder) error {
	txn := Txn{If: []Condition{t.lock}, Deletes: []string{keyLock}}
	t.mu.Lock()
	txn.Puts = []Put{t.nextSequence(orders)}
	if !t.lastWriteUnknown {
		txn.If = append(txn.If, Condition{Key: keySequence, Revision: t.sequence})
		txn.Puts = append(txn.Puts, puts...)
		txn.Deletes = append(txn.Deletes, deletes...)
	}
	t.mu.Unlock()
	res, err := t.store.Commit(ctx, txn)
	if err != nil || res.Committed {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.explainRefusal(res); verdict.CodeOf(err) != CodeNotOwner {
		return err
	}
	return nil // the lock is gone
}

// LockRevision returns the revision of the lock that is a condition of the term's writes.
func (t *Term) LockRevision() int64 { return t.lock.Revision }
