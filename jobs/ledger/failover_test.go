package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/verdict"
)

// fakeStore is a store whose Get runs a function.
type fakeStore struct {
	Store
	get   func(ctx context.Context) error
	calls int

	commits       int
	relayFailures int // calls of RelayFailed
}

func (s *fakeStore) Get(ctx context.Context, _ string, _ bool) (Item, bool, error) {
	s.calls++
	return Item{}, false, s.get(ctx)
}

// Relay implements Relays: the fake store is its own relay.
func (s *fakeStore) Relay() Store { return s }

func (s *fakeStore) RelayFailed(Store) { s.relayFailures++ }

func storeError(context.Context) error {
	return verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "no answer")
}

func succeed(context.Context) error { return nil }

func TestCancelledCallIsNotStoreFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	direct := &fakeStore{get: func(context.Context) error { cancel(); return storeError(ctx) }}
	relay := &fakeStore{get: succeed}
	failures := 0
	f := NewFailover(direct, relay, time.Now, func(error) { failures++ })
	_, _, err := f.Get(ctx, "k", false)
	require.Error(t, err)
	assert.Zero(t, failures)
	assert.Zero(t, relay.calls, "a cancelled call is not retried on the relay")

	direct.get = succeed
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 2, direct.calls, "the direct path is not avoided")
}

// TestPathsAlternate: after a failure of the direct path the relay is tried first, and after a
// failure of both the direct path again.
func TestPathsAlternate(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, relay := &fakeStore{get: storeError}, &fakeStore{get: succeed}
	f := NewFailover(direct, relay, func() time.Time { return now }, func(error) {})
	for range 2 {
		_, _, err := f.Get(context.Background(), "k", false)
		require.NoError(t, err)
	}
	assert.Equal(t, 1, direct.calls, "the direct path is avoided for a while")
	assert.Equal(t, 2, relay.calls)

	relay.get = storeError
	direct.get = succeed
	_, _, err := f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 3, direct.calls, "the direct path comes first once the relay has failed")
	assert.Equal(t, 3, relay.calls)
}

// TestNoDirectRetryWhileDialFails: while no connection to the store can be opened, a failure of
// the relay does not make the next call try the direct path.
func TestNoDirectRetryWhileDialFails(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	refused := func(context.Context) error { return verdict.New(verdict.NotRun, CodeStoreUnavailable, "no connection") }
	direct, relay := &fakeStore{get: refused}, &fakeStore{get: storeError}
	f := NewFailover(direct, relay, func() time.Time { return now }, func(error) {})
	_, _, err := f.Get(context.Background(), "k", false)
	require.Error(t, err)
	relay.get = succeed
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 1, direct.calls)
	assert.Equal(t, 1, relay.relayFailures, "the relay's failure is reported")
}

// TestDirectBackoffGrowsWhileDialFails: each probe of the direct path costs a timeout, so
// the backoff grows; an answer on the direct path resets it.
func TestDirectBackoffGrowsWhileDialFails(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	refused := func(context.Context) error { return verdict.New(verdict.NotRun, CodeStoreUnavailable, "no connection") }
	direct, relay := &fakeStore{get: refused}, &fakeStore{get: succeed}
	f := NewFailover(direct, relay, func() time.Time { return now }, func(error) {})
	during := func(d time.Duration) int {
		before := direct.calls
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			_, _, err := f.Get(context.Background(), "k", false)
			require.NoError(t, err)
		}
		return direct.calls - before
	}
	assert.Equal(t, 4, during(8*time.Second), "after 0, 0.7, 2.1 and 4.9 s")
	direct.get = succeed
	assert.Positive(t, during(2*maxDirectBackoff))
	direct.get = refused
	assert.Equal(t, 2, during(time.Second), "the backoff starts again")
}

// neverAnswers blocks until ctx ends, as a call does in a partition.
func neverAnswers(ctx context.Context) error {
	<-ctx.Done()
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodeStoreUnavailable, "no answer")
}

func (s *fakeStore) Commit(ctx context.Context, _ Txn) (TxnResult, error) {
	s.commits++
	return TxnResult{Committed: true}, s.get(ctx)
}

// TestRelayServesDuringPartition: once a call on the direct path was not answered, no transaction
// is sent there, and a call that probes it has enough time left for the relay.
func TestRelayServesDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 900 * time.Millisecond
		direct, relay := &fakeStore{get: neverAnswers}, &fakeStore{get: succeed}
		f := NewFailover(direct, relay, time.Now, func(error) {})
		call := func(do func(ctx context.Context) error) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(context.Background(), budget)
			defer cancel()
			began := time.Now()
			err := do(ctx)
			return time.Since(began), err
		}
		get := func(ctx context.Context) error { _, _, err := f.Get(ctx, "k", false); return err }
		commit := func(ctx context.Context) error { _, err := f.Commit(ctx, Txn{}); return err }
		_, err := call(commit)
		require.Error(t, err, "the first call detects the failure")
		require.Equal(t, 1, direct.commits)
		for range 200 { // for 20 s
			took, err := call(get)
			require.NoError(t, err)
			require.LessOrEqual(t, took, probeTimeout)
			took, err = call(commit)
			require.NoError(t, err)
			require.Zero(t, took)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, 1, direct.commits)
		assert.LessOrEqual(t, direct.calls, 30, "one probe per 0.7 s for 20 s")

		direct.get = succeed
		time.Sleep(maxDirectBackoff)
		_, err = call(get)
		require.NoError(t, err)
		_, err = call(commit)
		require.NoError(t, err)
		assert.Equal(t, 2, direct.commits, "the direct path is used again once a read was answered there")
	})
}
