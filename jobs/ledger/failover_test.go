package ledger

import (
	"context"
	"testing"
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
}

func (s *scripted) Get(ctx context.Context, _ string, _ bool) (Item, bool, error) {
	s.calls++
	return Item{}, false, s.get(ctx)
}

// Relay implements Relays: the scripted store is the second way.
func (s *scripted) Relay() Store { return s }

func storeError(context.Context) error {
	return verdict.New(verdict.MayHaveRun, CodeStore, "no answer")
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
