package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// Figures of accepting jobs.
const (
	// acceptBatch is how many submissions share a transaction: each takes a
	// condition and a put.
	acceptBatch = MaxTxnEntries / 2
	// acceptWorkers is how many transactions are under way at the same time, so
	// that one slow answer does not hold up the others.
	acceptWorkers = 4
	// acceptQueueLen is how many submissions may wait; more are refused at once.
	acceptQueueLen = 512
	// acceptTimeout bounds one try: the store answers in 4 ms, and in 300 ms in
	// its slow hours.
	acceptTimeout = 900 * time.Millisecond
	// acceptRetryWindow is how long a transaction whose answer was lost is tried again: its
	// condition lets it happen once, and its callers need to know whether it did. Callers
	// wait for 3 s, and use what is left for tries of their own.
	acceptRetryWindow = time.Second
	// acceptRetryInterval is the time between two such tries.
	acceptRetryInterval = 60 * time.Millisecond
)

// CodeTooManySubmissions says that too many submissions wait.
const CodeTooManySubmissions verdict.Code = "too-many-submissions"

// AcceptorStore is a store that knows whether it is away.
type AcceptorStore interface {
	Store
	Unavailable() bool
}

// Acceptor writes submissions, several at a time.
type Acceptor struct {
	store AcceptorStore
	queue chan pendingSubmission
}

type pendingSubmission struct {
	key    string
	tenant string
	value  []byte
	done   chan error
}

// NewAcceptor returns an acceptor that does nothing before Run.
func NewAcceptor(s AcceptorStore) *Acceptor {
	return &Acceptor{store: s, queue: make(chan pendingSubmission, acceptQueueLen)}
}

// Run starts the acceptor's goroutines, which end with ctx.
func (a *Acceptor) Run(ctx context.Context) {
	for range acceptWorkers {
		go a.work(ctx)
	}
}

// Accept stores a job. A nil error means that it is in the store, by this call
// or an earlier one; otherwise the verdict says whether it may be. While the store is
// away nothing is sent, so that the refusal can say for certain that it is not, and
// callers come back after a pause instead of spending their tries at once.
func (a *Acceptor) Accept(ctx context.Context, j *job.Job) error {
	if a.store.Unavailable() {
		return errStoreUnavailable()
	}
	s := pendingSubmission{key: prefixSubmitted + string(j.ID), tenant: j.Tenant, value: encode(j), done: make(chan error, 1)}
	select {
	case a.queue <- s:
	default:
		return verdict.New(verdict.NotRun, CodeTooManySubmissions, "%d submissions wait for the store", acceptQueueLen)
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodeStoreUnavailable, "job %s is being stored", j.ID)
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

// collectBatch takes what else waits, up to a full transaction. Two submissions of
// one job must not share it.
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

// storeBatch writes a batch. Jobs that are in the store already are taken out of
// it, and the rest is sent again.
func (a *Acceptor) storeBatch(ctx context.Context, batch map[string][]pendingSubmission) {
	if a.store.Unavailable() {
		completeBatch(batch, errStoreUnavailable())
		return
	}
	began := time.Now()
	mayHaveCommitted := false // an earlier try may still take effect
	for len(batch) > 0 {
		res, err := a.commit(ctx, batch)
		switch {
		case err != nil:
			mayHaveCommitted = mayHaveCommitted || verdict.Of(err) != verdict.NotRun
			if mayHaveCommitted && time.Since(began) < acceptRetryWindow && sleep.For(ctx, acceptRetryInterval) {
				continue
			}
			if mayHaveCommitted {
				err = verdict.Wrap(err, verdict.MayHaveRun, CodeStoreUnavailable, "tried for %s", time.Since(began).Round(time.Millisecond))
			}
			completeBatch(batch, err)
			return
		case res.Committed:
			completeBatch(batch, nil)
			return
		}
		if a.dropExisting(batch, res) == 0 {
			completeBatch(batch, verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "the store refused a batch and named no existing key"))
			return
		}
	}
}

func (a *Acceptor) commit(ctx context.Context, batch map[string][]pendingSubmission) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var t Txn
	for key, s := range batch {
		t.If = append(t.If, Condition{Key: key})
		t.Puts = append(t.Puts, Put{Key: key, Value: s[0].value})
	}
	return a.store.Commit(ctx, t)
}

func (a *Acceptor) dropExisting(batch map[string][]pendingSubmission, res TxnResult) int {
	n := 0
	for _, i := range res.Current {
		s, ok := batch[i.Key]
		if !ok {
			continue
		}
		n++
		delete(batch, i.Key)
		for _, p := range s {
			p.done <- checkAccess(i, p.tenant)
		}
	}
	return n
}

// CodeOtherTenant says that a job belongs to another tenant than the one that asks.
const CodeOtherTenant verdict.Code = "job-of-another-tenant"

// ErrOtherTenant is the error of a call for a job of another tenant.
func ErrOtherTenant(id job.ID) error {
	return verdict.New(verdict.NotRun, CodeOtherTenant, "job %s is another tenant's", id)
}

// checkAccess returns an error if the job of a submission that is in the store is not the
// tenant's. One that cannot be read is nobody's.
func checkAccess(i Item, tenant string) error {
	sub, err := decodeSubmission(i)
	if err == nil && !job.MayAccess(tenant, sub.Tenant) {
		return ErrOtherTenant(idOf(i.Key, prefixSubmitted))
	}
	return nil
}

func completeBatch(batch map[string][]pendingSubmission, err error) {
	for _, ss := range batch {
		for _, s := range ss {
			s.done <- err
		}
	}
}

// JobExists reports whether the job is in the store: accepted, or ended a while ago.
func JobExists(ctx context.Context, s Store, id job.ID) (bool, error) {
	_, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
	return known, err
}

// Cancel records a tenant's wish to cancel a job. known is false if there is
// no such job.
func Cancel(ctx context.Context, s Store, id job.ID, tenant string) (known bool, err error) {
	item, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
	if err != nil || !known {
		return known, err
	}
	if err := checkAccess(item, tenant); err != nil {
		return true, err
	}
	t := Txn{
		If:   []Condition{{Key: prefixCancelled + string(id)}},
		Puts: []Put{{Key: prefixCancelled + string(id), Value: []byte("{}")}},
	}
	_, err = s.Commit(ctx, t) // a refusal says that it was cancelled before
	return true, err
}

// StateOf reads a job's state, and whose it is, from the store, for when the owner is away.
func StateOf(ctx context.Context, s Store, id job.ID) (state job.State, tenant string, known bool, err error) {
	item, known, err := s.Get(ctx, prefixSubmitted+string(id), false)
	if err != nil || !known {
		return "", "", known, err
	}
	sub, err := decodeSubmission(item)
	if err != nil {
		return "", "", true, err
	}
	if sub.Ended != nil {
		return sub.Ended.State, sub.Tenant, true, nil
	}
	state, err = openStateOf(ctx, s, id)
	return state, sub.Tenant, true, err
}

// openStateOf reads the state of a job the submission of which does not show its end.
func openStateOf(ctx context.Context, s Store, id job.ID) (job.State, error) {
	if item, found, err := s.Get(ctx, prefixProgress+string(id), false); err != nil {
		return "", err
	} else if found {
		p, err := decode[job.Progress](item)
		return p.State, err
	}
	if _, found, err := s.Get(ctx, prefixCancelled+string(id), false); err != nil {
		return "", err
	} else if found {
		return job.Cancelled, nil
	}
	return job.Queued, nil
}

// idOf returns the job of a key with the given prefix.
func idOf(key, prefix string) job.ID { return job.ID(strings.TrimPrefix(key, prefix)) }
