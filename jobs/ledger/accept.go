package ledger

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// Parameters of accepting jobs.
const (
	// acceptBatch is the number of submissions in a transaction: each takes two conditions and a
	// put.
	acceptBatch = MaxTxnEntries / 3
	// acceptWorkers is the number of concurrent transactions. With several, a slow answer does
	// not delay all submissions.
	acceptWorkers = 4
	// acceptQueueLen is how many submissions may wait; more are refused immediately.
	acceptQueueLen = 512
	// acceptTimeout bounds one attempt. The store answers in 4 ms, and in 300 ms while it is slow.
	acceptTimeout = 900 * time.Millisecond
	// acceptRetryWindow is how long a transaction is retried after its answer was lost. Its
	// conditions let it commit only once, and the callers must learn whether it did. Callers
	// wait for 3 s in all and need the rest of that time for retries of their own.
	acceptRetryWindow = time.Second
	// acceptRetryInterval is the time between retries.
	acceptRetryInterval = 60 * time.Millisecond
)

// CodeSubmissionTooLarge means that a submission was refused because the store accepts no value of its size.
const CodeSubmissionTooLarge verdict.Code = "submission-too-large"

// endRecordBytes bounds what the record of a job's end has in addition to its submission.
const endRecordBytes = 1024

// CodeTooManySubmissions means that a submission was refused because the queue of submissions is
// full.
const CodeTooManySubmissions verdict.Code = "too-many-submissions"

// AcceptorStore is a store that tracks its own availability.
type AcceptorStore interface {
	Store
	// Unavailable reports whether recent calls to the store failed.
	Unavailable() bool
}

// Acceptor writes submissions to the store in batches.
type Acceptor struct {
	store         AcceptorStore
	queue         chan pendingSubmission
	maxValueBytes int // largest value that the store accepts; 0: unknown
}

// pendingSubmission is a submission that waits for the store.
type pendingSubmission struct {
	key    string
	tenant string
	value  []byte
	done   chan error // receives the result once
}

// cancelKey returns the key of an early cancellation of the submission.
func (s *pendingSubmission) cancelKey() string {
	return earlyCancelKey(idOf(s.key, prefixSubmitted), s.tenant)
}

// NewAcceptor returns an acceptor for a store that accepts no value of more than maxValueBytes; 0: not known.
// Submissions wait in its queue until Run is called.
func NewAcceptor(s AcceptorStore, maxValueBytes int) *Acceptor {
	return &Acceptor{store: s, queue: make(chan pendingSubmission, acceptQueueLen), maxValueBytes: maxValueBytes}
}

// Run starts the acceptor's goroutines, which end with ctx.
func (a *Acceptor) Run(ctx context.Context) {
	for range acceptWorkers {
		go a.work(ctx)
	}
}

// Accept stores a job. A nil error means that the job is in the store, by this call or an
// earlier one; otherwise the error's verdict says whether it may be. While the store is
// unavailable nothing is sent and the verdict is NotRun, so that callers retry after a delay
// instead of using up their attempts immediately.
func (a *Acceptor) Accept(ctx context.Context, j *job.Job) error {
	if a.store.Unavailable() {
		return errStoreUnavailable()
	}
	s := pendingSubmission{key: prefixSubmitted + string(j.ID), tenant: j.Tenant, value: encode(j), done: make(chan error, 1)}
	if limit := a.maxValueBytes - endRecordBytes; a.maxValueBytes > 0 && len(s.value) > limit {
		return verdict.New(verdict.NotRun, CodeSubmissionTooLarge, "job %s takes %d bytes in the store, want at most %d", j.ID, len(s.value), limit)
	}
	select {
	case a.queue <- s:
	default:
		return verdict.New(verdict.NotRun, CodeTooManySubmissions, "%d submissions wait for the store", acceptQueueLen)
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodeStoreUnavailable, "job %s is still being stored", j.ID)
	}
}

func errStoreUnavailable() error {
	return verdict.New(verdict.NotRun, CodeStoreUnavailable, "the store does not answer")
}

func (a *Acceptor) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.queue:
			a.storeBatch(ctx, a.collectBatch(first))
		}
	}
}

// collectBatch returns first and the submissions that wait behind it, up to a full transaction,
// by key. Several submissions of one job share a put, as a transaction may contain a key only
// once.
func (a *Acceptor) collectBatch(first pendingSubmission) map[string][]pendingSubmission {
	batch := map[string][]pendingSubmission{first.key: {first}}
	for len(batch) < acceptBatch {
		select {
		case s := <-a.queue:
			batch[s.key] = append(batch[s.key], s)
		default:
			return batch
		}
	}
	return batch
}

// storeBatch writes a batch. Jobs that are in the store already, or were cancelled before, are completed and
// removed from the batch, and the rest is sent again.
func (a *Acceptor) storeBatch(ctx context.Context, batch map[string][]pendingSubmission) {
	if a.store.Unavailable() {
		completeBatch(batch, errStoreUnavailable())
		return
	}
	began := time.Now()
	mayHaveCommitted := false // an earlier attempt may still take effect
	for len(batch) > 0 {
		res, err := a.commit(ctx, batch)
		switch {
		case err != nil:
			mayHaveCommitted = mayHaveCommitted || verdict.Of(err) != verdict.NotRun
			if mayHaveCommitted && time.Since(began) < acceptRetryWindow && sleep.For(ctx, acceptRetryInterval) {
				continue
			}
			if mayHaveCommitted {
				err = verdict.Wrap(err, verdict.MayHaveRun, CodeStoreUnavailable, "store transaction retried for %s", time.Since(began).Round(time.Millisecond))
			}
			completeBatch(batch, err)
			return
		case res.Committed:
			completeStored(batch)
			return
		}
		if a.dropExisting(batch, res)+dropCancelled(batch, res) == 0 {
			completeBatch(batch, verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "the store refused a batch but reported no existing key"))
			return
		}
	}
}

func (a *Acceptor) commit(ctx context.Context, batch map[string][]pendingSubmission) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var t Txn
	for key, submissions := range batch {
		t.If = append(t.If, Condition{Key: key}, Condition{Key: submissions[0].cancelKey()})
		t.Puts = append(t.Puts, Put{Key: key, Value: submissions[0].value})
	}
	return a.store.Commit(ctx, t)
}

// dropExisting completes and removes the submissions of jobs that exist, and returns the
// number of these jobs.
func (a *Acceptor) dropExisting(batch map[string][]pendingSubmission, res TxnResult) int {
	n := 0
	for _, i := range res.Current {
		submissions, ok := batch[i.Key]
		if !ok {
			continue
		}
		n++
		delete(batch, i.Key)
		for _, s := range submissions {
			s.done <- checkAccess(i, s.tenant)
		}
	}
	return n
}

// dropCancelled completes and removes the submissions of jobs that their tenants cancelled before they were stored,
// and returns their number.
func dropCancelled(batch map[string][]pendingSubmission, res TxnResult) int {
	existing := map[string]bool{}
	for _, i := range res.Current {
		existing[i.Key] = true
	}
	n := 0
	for key, submissions := range batch {
		var left []pendingSubmission
		for _, s := range submissions {
			if !existing[s.cancelKey()] {
				left = append(left, s)
				continue
			}
			n++
			s.done <- verdict.New(verdict.NotRun, CodeCancelledEarly, "job %s was cancelled before it was stored", idOf(key, prefixSubmitted))
		}
		if batch[key] = left; len(left) == 0 {
			delete(batch, key)
		}
	}
	return n
}

// CodeOtherTenant means that a call was refused because its job belongs to another tenant.
const CodeOtherTenant verdict.Code = "job-of-another-tenant"

// ErrOtherTenant returns the error of a call for a job of another tenant.
func ErrOtherTenant(id job.ID) error {
	return verdict.New(verdict.NotRun, CodeOtherTenant, "job %s belongs to another tenant", id)
}

// checkAccess returns an error if the tenant may not access the job of a stored submission.
// A submission that cannot be decoded belongs to no tenant.
func checkAccess(i Item, tenant string) error {
	sub, err := decodeSubmission(i)
	if err == nil && !job.MayAccess(tenant, sub.Tenant) {
		return ErrOtherTenant(idOf(i.Key, prefixSubmitted))
	}
	return nil
}

// completeBatch reports err to all submissions of a batch.
func completeBatch(batch map[string][]pendingSubmission, err error) {
	for _, submissions := range batch {
		for _, s := range submissions {
			s.done <- err
		}
	}
}

// completeStored reports the outcome of a batch that is stored. Of the submissions of one job the first
// was stored; those of other tenants are refused, as if it had been stored before.
func completeStored(batch map[string][]pendingSubmission) {
	for key, submissions := range batch {
		stored := submissions[0].tenant
		for _, s := range submissions {
			if job.MayAccess(s.tenant, stored) {
				s.done <- nil
			} else {
				s.done <- ErrOtherTenant(idOf(key, prefixSubmitted))
			}
		}
	}
}

// JobExists reports whether the job is in the store, whether or not it has ended.
func JobExists(ctx context.Context, s Store, id job.ID) (bool, error) {
	_, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
	return known, err
}

// maxCancelAttempts is how often a cancellation is tried if the job's submission changes meanwhile. It
// changes when the job ends, and once more at most if the job is then removed and submitted again.
const maxCancelAttempts = 3

// Cancel records a tenant's request to cancel a job. known is false if the job does not exist.
func Cancel(ctx context.Context, s Store, id job.ID, tenant string) (known bool, err error) {
	for range maxCancelAttempts {
		item, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
		if err != nil || !known {
			return known, err
		}
		if err := checkAccess(item, tenant); err != nil {
			return true, err
		}
		if done, err := cancelSubmission(ctx, s, item); err != nil || done {
			return true, err
		}
	}
	return true, verdict.New(verdict.NotRun, CodeStoreUnavailable, "the submission of job %s changed %d times while it was cancelled", id, maxCancelAttempts)
}

// cancelSubmission records the cancellation of a job that has not ended. Its condition on the
// submission keeps the cancellation of a job that is removed meanwhile from applying to a later
// job with the same ID. done is false if the submission has changed since it was read.
func cancelSubmission(ctx context.Context, s Store, item Item) (done bool, err error) {
	if sub, err := decodeSubmission(item); err == nil && sub.Ended != nil {
		return true, nil
	}
	key := prefixCancelled + string(idOf(item.Key, prefixSubmitted))
	res, err := s.Commit(ctx, Txn{
		If:   []Condition{{Key: item.Key, Revision: item.Revision}, {Key: key}},
		Puts: []Put{{Key: key, Value: []byte("{}")}},
	})
	if err != nil {
		return false, err
	}
	cancelledBefore := slices.ContainsFunc(res.Current, func(i Item) bool { return i.Key == key })
	return res.Committed || cancelledBefore, nil
}

// StateOf reads a job's state and tenant from the store. It is used while the owner is not
// available.
func StateOf(ctx context.Context, s Store, id job.ID) (state job.State, tenant string, known bool, err error) {
	state, tenant, known, err = endStateOf(ctx, s, id)
	if err != nil || !known || state != "" {
		return state, tenant, known, err
	}
	state, err = openStateOf(ctx, s, id)
	if err != nil || state != job.Queued {
		return state, tenant, true, err
	}
	// The job's progress is removed when it ends, which may have happened between the reads.
	if state, tenant, known, err = endStateOf(ctx, s, id); state == "" {
		state = job.Queued
	}
	return state, tenant, known, err
}

// endStateOf reads a job's submission. state is "" if the job has not ended.
func endStateOf(ctx context.Context, s Store, id job.ID) (state job.State, tenant string, known bool, err error) {
	item, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
	if err != nil || !known {
		return "", "", known, err
	}
	sub, err := decodeSubmission(item)
	if err != nil || sub.Ended == nil {
		return "", sub.Tenant, true, err
	}
	return sub.Ended.State, sub.Tenant, true, nil
}

// openStateOf reads the state of a job whose submission contains no EndRecord. A cancellation counts
// from the time when it is stored, as for the owner.
func openStateOf(ctx context.Context, s Store, id job.ID) (job.State, error) {
	if _, found, err := s.Get(ctx, prefixCancelled+string(id), false); err != nil {
		return "", err
	} else if found {
		return job.Cancelled, nil
	}
	item, found, err := s.Get(ctx, prefixProgress+string(id), false)
	if err != nil || !found {
		return job.Queued, err
	}
	p, err := decode[job.Progress](item)
	return p.State, err
}

// idOf returns the job ID in a key with the given prefix.
func idOf(key, prefix string) job.ID { return job.ID(strings.TrimPrefix(key, prefix)) }
