package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// resettingStore is a store that, while it is unavailable, resets connections after the transaction
// was sent.
type resettingStore struct {
	Store
	down    atomic.Bool
	commits int
}

func (s *resettingStore) Commit(context.Context, Txn) (TxnResult, error) {
	s.commits++
	if s.down.Load() {
		return TxnResult{}, verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "connection reset")
	}
	return TxnResult{Committed: true}, nil
}

func (s *resettingStore) KeepAlive(context.Context, LeaseID) (bool, error) {
	if s.down.Load() {
		return false, verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "connection reset")
	}
	return true, nil
}

func (s *resettingStore) Relay() Store      { return nil }
func (s *resettingStore) RelayFailed(Store) {}

// TestSubmissionsDuringStoreOutage guards against callers that use up their attempts in an outage.
// A caller makes five attempts within 3 s, the next one immediately after MayHaveRun and with a
// delay after NotRun. So all but the first submissions of an outage must be refused with NotRun
// without sending anything, and a transaction whose outcome is unknown must be retried before it
// is given up.
func TestSubmissionsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &resettingStore{}
		s.down.Store(true)
		f := NewFailover(s, s, time.Now, func(error) {})
		a := NewAcceptor(f, 0)
		a.Run(ctx)
		accept := func(n int) error {
			return a.Accept(ctx, &job.Job{ID: job.ID(fmt.Sprintf("%016x", n))})
		}
		began := time.Now()
		first := accept(1)
		require.Error(t, first)
		assert.Equal(t, verdict.MayHaveRun, verdict.Of(first))
		assert.GreaterOrEqual(t, time.Since(began), acceptRetryWindow)
		assert.Less(t, time.Since(began), acceptRetryWindow+100*time.Millisecond)

		sent := s.commits
		for n := range 20 {
			err := accept(2 + n)
			assert.Equal(t, verdict.NotRun, verdict.Of(err), "%v", err)
		}
		assert.Equal(t, sent, s.commits, "refused submissions are not sent")

		s.down.Store(false)
		assert.Error(t, accept(40), "no call has succeeded since the outage")
		_, err := f.KeepAlive(ctx, 1)
		require.NoError(t, err)
		assert.NoError(t, accept(41))
	})
}

// TestSubmissionBeyondTheLargestValueIsRefused: at the bound a submission is stored, above it the caller is told so.
func TestSubmissionBeyondTheLargestValueIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		j := &job.Job{ID: "00000000000000ab", Payload: "text", AcceptedAt: time.Now()}
		size := len(encode(j))
		for over, code := range map[int]verdict.Code{0: "", 1: CodeSubmissionTooLarge} {
			s := &resettingStore{}
			a := NewAcceptor(NewFailover(s, s, time.Now, func(error) {}), size+endRecordBytes-over)
			a.Run(ctx)
			err := a.Accept(ctx, j)
			assert.Equal(t, code, verdict.CodeOf(err))
			assert.Equal(t, 1-over, s.commits)
			if over > 0 {
				assert.Equal(t, verdict.NotRun, verdict.Of(err))
			}
		}
	})
}

// TestRejectedTransactionIsNoOutage: a store that rejects a transaction as invalid is available, and is not asked again.
func TestRejectedTransactionIsNoOutage(t *testing.T) {
	s := &rejectingStore{}
	f := NewFailover(s, &resettingStore{}, time.Now, func(err error) { t.Errorf("the store failed: %v", err) })
	for range 5 {
		_, err := f.Commit(t.Context(), Txn{})
		assert.Equal(t, CodeStoreRejected, verdict.CodeOf(err))
	}
	assert.Equal(t, 5, s.commits)
	assert.False(t, f.Unavailable())
}

// rejectingStore rejects every transaction as invalid.
type rejectingStore struct{ resettingStore }

func (s *rejectingStore) Commit(context.Context, Txn) (TxnResult, error) {
	s.commits++
	return TxnResult{}, verdict.New(verdict.NotRun, CodeStoreRejected, "a value is too large")
}

// TestLostAnswerIsRetried: a transaction whose answer is lost is retried, and the caller is told
// that the job is stored.
func TestLostAnswerIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &resettingStore{}
		s.down.Store(true)
		a := NewAcceptor(NewFailover(s, s, time.Now, func(error) {}), 0)
		a.Run(ctx)
		time.AfterFunc(300*time.Millisecond, func() { s.down.Store(false) })
		assert.NoError(t, a.Accept(ctx, &job.Job{ID: "00000000000000ab"}))
	})
}
