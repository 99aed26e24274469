package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/standin/jobfleet"
	"github.com/postmount/postmount/verdict"
)

// earlyCancelRig is a store with an acceptor and early cancellations.
type earlyCancelRig struct {
	t        *testing.T
	store    *jobfleet.Store
	client   ledger.Store
	acceptor *ledger.Acceptor
	early    *ledger.EarlyCancels
}

// withEarlyCancels runs f in virtual time.
func withEarlyCancels(t *testing.T, f func(ctx context.Context, r *earlyCancelRig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := jobfleet.NewStore()
		client := store.Client("d", &jobfleet.Gate{}, noFailure)
		r := &earlyCancelRig{t: t, store: store, client: client, acceptor: ledger.NewAcceptor(ledger.NewFailover(client, noPeers{}, time.Now, func(error) {}), 0), early: ledger.NewEarlyCancels(client, time.Now)}
		r.acceptor.Run(ctx)
		f(ctx, r)
	})
}

func earlyJob(n int, tenant string) *job.Job {
	return &job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "q", Service: "s", Tenant: tenant, AcceptedAt: time.Now(), Steps: []job.Step{{Count: 1}}}
}

// record stores an early cancellation.
func (r *earlyCancelRig) record(ctx context.Context, j *job.Job) {
	recorded, err := r.early.Record(ctx, j.ID, j.Tenant)
	require.NoError(r.t, err)
	require.True(r.t, recorded)
}

// TestSubmissionAfterItsCancellationIsNotStored guards against a job that runs after its cancelling was acknowledged: the
// cancellation overtook the submission, which waited in a daemon that did not run.
func TestSubmissionAfterItsCancellationIsNotStored(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		j := earlyJob(1, "")
		r.record(ctx, j)
		r.record(ctx, j) // the caller cancels again
		err := r.acceptor.Accept(ctx, j)
		assert.Equal(t, ledger.CodeCancelledEarly, verdict.CodeOf(err))
		assert.Equal(t, verdict.NotRun, verdict.Of(err))
		known, err := ledger.JobExists(ctx, r.client, j.ID)
		require.NoError(t, err)
		assert.False(t, known)
		_, _, known, err = ledger.StateOf(ctx, r.client, j.ID)
		require.NoError(t, err)
		assert.False(t, known, "no job is shown that was not accepted")
	})
}

// TestCancelledSubmissionDoesNotDelayOthers: the other submissions of its transaction are stored.
func TestCancelledSubmissionDoesNotDelayOthers(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		r.record(ctx, earlyJob(3, ""))
		outcomes := make([]error, 40)
		for n := range outcomes {
			go func() { outcomes[n] = r.acceptor.Accept(ctx, earlyJob(n, "")) }()
		}
		time.Sleep(time.Second)
		for n, err := range outcomes {
			if n == 3 {
				assert.Equal(t, ledger.CodeCancelledEarly, verdict.CodeOf(err))
				continue
			}
			assert.NoError(t, err, "job %d", n)
		}
	})
}

// TestEarlyCancellationOfAStoredJob: the caller has to cancel it as any other job.
func TestEarlyCancellationOfAStoredJob(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		j := earlyJob(1, "")
		require.NoError(t, r.acceptor.Accept(ctx, j))
		recorded, err := r.early.Record(ctx, j.ID, "")
		require.NoError(t, err)
		assert.False(t, recorded)
	})
}

// TestEarlyCancellationOfAnotherTenant guards against a tenant that keeps the jobs of others out of the store.
func TestEarlyCancellationOfAnotherTenant(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		r.record(ctx, earlyJob(1, "one"))
		assert.NoError(t, r.acceptor.Accept(ctx, earlyJob(1, "two")))
		r.record(ctx, earlyJob(2, "one"))
		assert.Equal(t, ledger.CodeCancelledEarly, verdict.CodeOf(r.acceptor.Accept(ctx, earlyJob(2, "one"))))
	})
}

// TestEarlyCancellationsAreBounded guards against a caller that fills the store by cancelling jobs that do not exist.
func TestEarlyCancellationsAreBounded(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		stored, refused := 0, 0
		for n := range 10_000 {
			switch _, err := r.early.Record(ctx, earlyJob(n, "").ID, ""); {
			case err == nil:
				stored++
			default:
				require.Equal(t, ledger.CodeTooManyEarlyCancels, verdict.CodeOf(err))
				require.Equal(t, verdict.NotRun, verdict.Of(err))
				refused++
			}
			time.Sleep(5 * time.Millisecond)
		}
		assert.InDelta(t, 100+20*60, stored, 400, "a burst of 100, and 20 a second")
		assert.NotZero(t, refused)
		items, _, err := ledger.RangeAll(ctx, r.client, "early-cancel/", false)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(items), 100+20*90)
		time.Sleep(90 * time.Second)
		items, _, err = ledger.RangeAll(ctx, r.client, "early-cancel/", false)
		require.NoError(t, err)
		assert.Empty(t, items, "they are removed with their leases")
	})
}

// TestEarlyCancellationLasts: each is kept for a minute, whichever lease it is attached to.
func TestEarlyCancellationLasts(t *testing.T) {
	withEarlyCancels(t, func(ctx context.Context, r *earlyCancelRig) {
		for n := range 10 {
			r.record(ctx, earlyJob(n, ""))
			time.Sleep(59 * time.Second)
			assert.Equal(t, ledger.CodeCancelledEarly, verdict.CodeOf(r.acceptor.Accept(ctx, earlyJob(n, ""))))
			time.Sleep(time.Duration(n) * 7 * time.Second)
		}
		r.store.RevokeAllLeases()
		r.record(ctx, earlyJob(20, ""))
		assert.Equal(t, ledger.CodeCancelledEarly, verdict.CodeOf(r.acceptor.Accept(ctx, earlyJob(20, ""))), "after an outage that ended the lease")
	})
}
