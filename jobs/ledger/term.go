package ledger

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// CodeNotOwner says that another daemon is the owner.
const CodeNotOwner verdict.Code = "not-the-owner"

// Term is this daemon's ownership: the right to write progress. All its
// transactions hold on the lock's revision and run one after another.
type Term struct {
	Number uint64
	// SucceedsSelf says that the owner before was an earlier life of this daemon.
	SucceedsSelf bool
	// PreviousOrders are the instances for which the owner before may have sent an
	// order within the last seconds of its term.
	PreviousOrders []owner.RecentOrder
	// PreviousOrdersUnknown says that these cannot be known.
	PreviousOrdersUnknown bool

	store            Store
	lock             Condition
	sequence         int64 // revision of keySequence that the next transaction holds on
	lastWriteUnknown bool  // the last transaction's answer was lost
	writes           uint64
}

// sequenceValue tells a lost transaction's outcome: who wrote the key last. Orders are
// the instances for which the writer may have sent an order in the last seconds; an
// order is sent only after a transaction that names its instance, so that the next
// owner knows of all of them.
type sequenceValue struct {
	Term   uint64
	Write  uint64
	Orders []orderRecord `json:",omitempty"`
}

// orderRecord is an owner.RecentOrder as it is kept: every transaction repeats some
// hundred of them at the start of a turn of demand.
type orderRecord struct {
	Instance  owner.InstanceID `json:"I"`
	Holder    string           `json:"H"`
	AgeMillis int64            `json:"A"`
}

func (t *Term) nextSequence(orders []owner.RecentOrder) Put {
	t.writes++
	v := sequenceValue{Term: t.Number, Write: t.writes}
	for _, o := range orders {
		v.Orders = append(v.Orders, orderRecord{o.Instance, o.Holder, o.Age.Milliseconds()})
	}
	return Put{Key: keySequence, Value: encode(v)}
}

// orders returns the orders that a value tells of.
func (v *sequenceValue) orders() []owner.RecentOrder {
	var out []owner.RecentOrder
	for _, o := range v.Orders {
		out = append(out, owner.RecentOrder{Instance: o.Instance, Holder: o.Holder, Age: time.Duration(o.AgeMillis) * time.Millisecond})
	}
	return out
}

// Elect tries to become the owner. replaced is the revision of a lock that an
// earlier life of this daemon left, or of what another writer did in its place; 0 if
// there is none. It returns nil if another daemon is the owner.
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
		return nil, verdict.New(verdict.NotRun, CodeStoreUnavailable, "the lease %d has ended", lease)
	}
	if !res.Committed {
		return nil, nil
	}
	return resume(ctx, s, number, res.Revision)
}

// Resume returns the term that lock, which names this daemon, gives it. That
// is how a daemon learns that an election whose answer was lost was won.
func Resume(ctx context.Context, s Store, lock Lock, revision int64) (*Term, error) {
	return resume(ctx, s, lock.Term, revision)
}

func resume(ctx context.Context, s Store, number uint64, lockRevision int64) (*Term, error) {
	seq, _, err := s.Get(ctx, keySequence, false)
	if err != nil {
		return nil, err
	}
	t := &Term{Number: number, store: s, lock: Condition{keyLock, lockRevision}, sequence: seq.Revision}
	if seq.Revision != 0 {
		last, err := decode[sequenceValue](seq)
		t.PreviousOrdersUnknown = err != nil // another writer's: the next write replaces it
		t.PreviousOrders = last.orders()
	}
	return t, nil
}

// termNumber returns the number of the newest term. If another writer's bytes stand in its
// place, the revision of these does: each term has changed the store at least once, so that
// no number of a term was as high.
func termNumber(i Item) uint64 {
	n, err := strconv.ParseUint(string(i.Value), 10, 64)
	if err != nil || n > uint64(i.Revision) {
		return uint64(i.Revision)
	}
	return n
}

// ReadLock returns who the owner is; held is false if nobody is. Then revision is 0, or that
// of bytes which another writer left in the lock's place, and which an election replaces.
func ReadLock(ctx context.Context, s Store) (l Lock, revision int64, held bool, err error) {
	item, held, err := s.Get(ctx, keyLock, false)
	if err != nil || !held {
		return Lock{}, 0, held, err
	}
	l, err = lockOf(item)
	if err != nil {
		return Lock{}, item.Revision, false, nil
	}
	return l, item.Revision, true, nil
}

func lockOf(i Item) (Lock, error) {
	l, err := decode[Lock](i)
	l.Lease = i.Lease
	if err == nil && (l.Node == "" || l.Addr == "" || l.Term == 0) {
		err = fmt.Errorf("key %s: it names daemon %q at %q, term %d", i.Key, l.Node, l.Addr, l.Term)
	}
	return l, err
}

// LockOf decodes an event under PrefixOwner; ok is false if it is not about
// the lock.
func LockOf(e Event) (l Lock, held, ok bool, err error) {
	if e.Key != keyLock {
		return Lock{}, false, false, nil
	}
	if e.Deleted {
		return Lock{}, false, true, nil
	}
	l, err = lockOf(e.Item)
	return l, true, true, err
}

// termEntries of a transaction are conditions on the lock and the sequence,
// and the put of the sequence.
const termEntries = 3

// MaxWriteEntries is how many puts and deletes one Write takes.
const MaxWriteEntries = MaxTxnEntries - termEntries

// Write stores puts and deletes if this daemon still is the owner, and orders, the
// instances for which it may have sent an order of late or is about to. After an
// error the caller calls again, with the same or newer values, until it gets
// nil or CodeDeposed.
func (t *Term) Write(ctx context.Context, puts []Put, deletes []string, orders []owner.RecentOrder) error {
	if t.lastWriteUnknown {
		if err := t.readSequence(ctx); err != nil {
			return err
		}
	}
	txn := Txn{
		If:      []Condition{t.lock, {Key: keySequence, Revision: t.sequence}},
		Puts:    append([]Put{t.nextSequence(orders)}, puts...),
		Deletes: deletes,
	}
	res, err := t.store.Commit(ctx, txn)
	if err != nil {
		t.lastWriteUnknown = verdict.Of(err) != verdict.NotRun
		return err
	}
	if res.Committed {
		t.sequence = res.Revision
		return nil
	}
	return t.explainRefusal(res)
}

// explainRefusal finds out why a transaction did not hold: another owner, or an
// earlier transaction of ours that was carried out late.
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
		return verdict.New(verdict.NotRun, CodeNotOwner, "term %d is over", t.Number)
	}
	return verdict.New(verdict.NotRun, CodeStoreUnavailable, "an earlier write of this term came late")
}

// readSequence reads the sequence after a lost answer. A transaction that is still
// on its way holds on a revision that the next write replaces.
func (t *Term) readSequence(ctx context.Context) error {
	item, _, err := t.store.Get(ctx, keySequence, false)
	if err != nil {
		return err
	}
	t.sequence = item.Revision
	t.lastWriteUnknown = false
	return nil
}

// RecordWrites returns the writes that keep a job's progress: r.Entries() of them.
func RecordWrites(r owner.Record) (puts []Put, deletes []string) {
	progress := prefixProgress + string(r.Job.ID)
	if !r.Progress.State.Final() {
		return []Put{{Key: progress, Value: encode(r.Progress)}}, nil
	}
	end := submission{Job: *r.Job, Ended: &EndRecord{r.Progress.State, r.Progress.EndedAt}}
	end.Payload = ""
	if r.Stored {
		deletes = []string{progress}
	}
	return []Put{{Key: prefixSubmitted + string(r.Job.ID), Value: encode(end)}}, deletes
}

// WavePut returns the put of what has begun of a wave.
func WavePut(wave int, p WaveProgress) Put {
	return Put{Key: prefixWaves + strconv.Itoa(wave), Value: encode(p)}
}

// WaveProgress is what is kept of a wave.
type WaveProgress struct {
	Begun []owner.InstanceID
	Done  bool
}

// JobKeys returns all keys of a job.
func JobKeys(id job.ID) []string {
	return []string{prefixSubmitted + string(id), prefixCancelled + string(id), prefixProgress + string(id)}
}

// Release ends the term early, so that another daemon can take over at once. It keeps
// some last puts and orders, as Write does. An earlier write without an answer does
// not matter: it fails once the lock is gone.
func (t *Term) Release(ctx context.Context, puts []Put, deletes []string, orders []owner.RecentOrder) error {
	_, err := t.store.Commit(ctx, Txn{
		If:      []Condition{t.lock},
		Puts:    append([]Put{t.nextSequence(orders)}, puts...),
		Deletes: append([]string{keyLock}, deletes...),
	})
	return err
}

// RefusedEntry is an entry that cannot be used, and why.
type RefusedEntry struct {
	Key      string
	Revision int64
	Err      error
}

// Snapshot is what an owner finds in the store.
type Snapshot struct {
	Refused  []RefusedEntry
	Jobs     []owner.Loaded
	Waves    map[int]WaveProgress
	Revision int64 // watching PrefixJobs from there misses nothing
}

// loadTimeout bounds the reading of one snapshot: some pages of 1 MB.
const loadTimeout = 10 * time.Second

// Load reads all jobs. The parts are read at the same time: only the owner writes
// progress and waves, and submissions that come meanwhile are seen by the watch from
// Revision on.
func Load(ctx context.Context, s Store) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	snap := Snapshot{Waves: map[int]WaveProgress{}}
	var items, progress, waves []Item
	err := runConcurrently(
		func() (err error) { items, snap.Revision, err = RangeAll(ctx, s, PrefixJobs, false); return err },
		func() (err error) { progress, _, err = RangeAll(ctx, s, prefixProgress, false); return err },
		func() (err error) { waves, _, err = RangeAll(ctx, s, prefixWaves, false); return err },
	)
	if err != nil {
		return snap, err
	}
	snap.assemble(items, progress)
	for _, i := range waves {
		n, err := strconv.Atoi(i.Key[len(prefixWaves):])
		if err != nil {
			snap.addRefused(i, fmt.Errorf("key %s: %w", i.Key, err))
			continue
		}
		p, err := decode[WaveProgress](i)
		if err != nil {
			snap.addRefused(i, err)
			continue
		}
		snap.Waves[n] = p
	}
	return snap, nil
}

func (s *Snapshot) addRefused(i Item, err error) {
	s.Refused = append(s.Refused, RefusedEntry{i.Key, i.Revision, err})
}

// runConcurrently calls functions at the same time and returns their errors.
func runConcurrently(calls ...func() error) error {
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		wg.Go(func() { errs[i] = call() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// assemble puts submissions, progress and cancellations together. A job of which one of
// these cannot be read is left out: what of it was done is not known, and nothing may run
// twice.
func (s *Snapshot) assemble(items, progress []Item) {
	progressByJob := map[job.ID]Item{}
	for _, i := range progress {
		progressByJob[idOf(i.Key, prefixProgress)] = i
	}
	cancelled := map[job.ID]bool{}
	for _, i := range items {
		ch, ok, err := DecodeChange(i)
		switch {
		case err != nil:
			s.addRefused(i, err)
		case !ok:
		case ch.Submitted == nil:
			cancelled[ch.Cancelled] = true
		default:
			s.addJob(&ch, progressByJob)
		}
	}
	for n := range s.Jobs {
		s.Jobs[n].Cancelled = cancelled[s.Jobs[n].Job.ID]
	}
}

func (s *Snapshot) addJob(ch *Change, progressByJob map[job.ID]Item) {
	l := owner.Loaded{Job: ch.Submitted}
	if ch.Ended != nil {
		l.Progress = &job.Progress{State: ch.Ended.State, EndedAt: ch.Ended.At}
	} else if i, found := progressByJob[ch.Submitted.ID]; found {
		p, err := decode[job.Progress](i)
		if err == nil {
			err = p.Validate(ch.Submitted)
		}
		if err != nil {
			s.addRefused(i, err)
			return
		}
		l.Progress = &p
	}
	s.Jobs = append(s.Jobs, l)
}

// LockRevision returns the revision of the lock that this term holds on.
func (t *Term) LockRevision() int64 { return t.lock.Revision }
