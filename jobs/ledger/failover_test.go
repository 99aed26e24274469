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

// scripted is a store of which Get runs a function.
type scripted struct {
	Store
	get   func(ctx context.Context) error
	calls int

	commits  int
	failures int // as the second way
}

func (s *scripted) Get(ctx context.Context, _ string, _ bool) (Item, bool, error) {
	s.calls++
	return Item{}, false, s.get(ctx)
}

// Relay implements Relays: the scripted store is the second way.
func (s *scripted) Relay() Store { return s }

func (s *scripted) RelayFailed(Store) { s.failures++ }

func storeError(context.Context) error {
	return verdict.New(verdict.MayHaveRun, CodeStoreUnavailable, "no answer")
}

func answers(context.Context) error { return nil }

func TestACallerWhoGivesUpIsNoFailureOfTheStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	direct := &scripted{get: func(context.Context) error { cancel(); return storeError(ctx) }}
	relay := &scripted{get: answers}
	failures := 0
	f := NewFailover(direct, relay, time.Now, func(error) { failures++ })
	_, _, err := f.Get(ctx, "k", false)
	require.Error(t, err)
	assert.Zero(t, failures)
	assert.Zero(t, relay.calls, "nobody waits for the answer")

	direct.get = answers
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 2, direct.calls, "the direct way is not avoided")
}

// TestWaysByTurns: after a failure of the direct way the other one comes first,
// and after a failure of both the direct one again.
func TestWaysByTurns(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	direct, relay := &scripted{get: storeError}, &scripted{get: answers}
	f := NewFailover(direct, relay, func() time.Time { return now }, func(error) {})
	for range 2 {
		_, _, err := f.Get(context.Background(), "k", false)
		require.NoError(t, err)
	}
	assert.Equal(t, 1, direct.calls, "it is left alone for a while")
	assert.Equal(t, 2, relay.calls)

	relay.get = storeError
	direct.get = answers
	_, _, err := f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 3, direct.calls, "it comes first once the other way has failed")
	assert.Equal(t, 3, relay.calls)
}

// TestACutOffDaemonStaysWithItsPeers: if no connection to the store can be opened,
// a peer that fails is no reason to try the direct way again at once.
func TestACutOffDaemonStaysWithItsPeers(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	refused := func(context.Context) error { return verdict.New(verdict.NotRun, CodeStoreUnavailable, "no connection") }
	direct, relay := &scripted{get: refused}, &scripted{get: storeError}
	f := NewFailover(direct, relay, func() time.Time { return now }, func(error) {})
	_, _, err := f.Get(context.Background(), "k", false)
	require.Error(t, err)
	relay.get = answers
	_, _, err = f.Get(context.Background(), "k", false)
	require.NoError(t, err)
	assert.Equal(t, 1, direct.calls)
	assert.Equal(t, 1, relay.failures, "the peer is told apart")
}

// TestADaemonThatStaysCutOffTriesLessOften: each try of the direct way costs a
// timeout; an answer there ends the backoff.
func TestADaemonThatStaysCutOffTriesLessOften(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	refused := func(context.Context) error { return verdict.New(verdict.NotRun, CodeStoreUnavailable, "no connection") }
	direct, relay := &scripted{get: refused}, &scripted{get: answers}
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
	direct.get = answers
	assert.Positive(t, during(2*maxDirectBackoff))
	direct.get = refused
	assert.Equal(t, 2, during(time.Second), "the backoff starts anew")
}

// hangs is a way on which nothing is answered.
func hangs(ctx context.Context) error {
	<-ctx.Done()
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodeStoreUnavailable, "no answer")
}

func (s *scripted) Commit(ctx context.Context, _ Txn) (TxnResult, error) {
	s.commits++
	return TxnResult{Committed: true}, s.get(ctx)
}

// TestACutOffDaemonIsServedByPeersAllTheTime: once it is known that nothing is answered
// on the direct way, no transaction is sent there, and a call that tries it leaves
// enough of its time for the other way.
func TestACutOffDaemonIsServedByPeersAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 900 * time.Millisecond
		direct, relay := &scripted{get: hangs}, &scripted{get: answers}
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
		require.Error(t, err, "the first one finds it out")
		require.Equal(t, 1, direct.commits)
		for range 200 { // 20 s
			took, err := call(get)
			require.NoError(t, err)
			require.LessOrEqual(t, took, probeTimeout)
			took, err = call(commit)
			require.NoError(t, err)
			require.Zero(t, took)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, 1, direct.commits)
		assert.LessOrEqual(t, direct.calls, 30, "20 s, a try each 0.7 s")

		direct.get = answers
		time.Sleep(maxDirectBackoff)
		_, err = call(get)
		require.NoError(t, err)
		_, err = call(commit)
		require.NoError(t, err)
		assert.Equal(t, 2, direct.commits, "the direct way is used again once a read was answered there")
	})
}
