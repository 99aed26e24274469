package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

func noFailure(string, string) jobfleet.Failure { return jobfleet.NoFailure }

// noPeers implements ledger.Relays for a daemon without peers.
type noPeers struct{}

func (noPeers) Relay() ledger.Store      { return nil }
func (noPeers) RelayFailed(ledger.Store) {}

// elect makes a daemon the owner.
func elect(t *testing.T, s ledger.Store, node string) *ledger.Term {
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, time.Minute)
	require.NoError(t, err)
	term, err := ledger.Elect(ctx, s, ledger.Member{Node: node}, lease, 0)
	require.NoError(t, err)
	require.NotNil(t, term)
	return term
}

// TestNextOwnerKnowsPriorOrders: the orders that an owner recorded with its last Write or
// Release are known to the next owner.
func TestNextOwnerKnowsPriorOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		first := elect(t, s, "d1")
		assert.Empty(t, first.PriorOrders)
		sent := []owner.RecentOrder{{Instance: "i1", Age: time.Second}, {Instance: "i2", Age: -time.Second}}
		require.NoError(t, first.Write(ctx, nil, nil, sent))
		require.NoError(t, first.Release(ctx, nil, nil, sent[:1]))
		second := elect(t, s, "d2")
		assert.Equal(t, sent[:1], second.PriorOrders)
		require.Error(t, first.Write(ctx, nil, nil, nil), "its term has ended")
	})
}

// TestEndedJobIsStoredWithoutPayload: the next owner knows that the job has ended, its state
// can be read, and a caller that submits it again is told that it is accepted.
func TestEndedJobIsStoredWithoutPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		a := ledger.NewAcceptor(ledger.NewFailover(s, noPeers{}, time.Now, func(error) {}), 0)
		a.Run(ctx)
		j := &job.Job{ID: "00000000000000aa", Queue: "q", Payload: "long text", AcceptedAt: time.Now(), Steps: []job.Step{{Count: 2}}}
		require.NoError(t, a.Accept(ctx, j))
		term := elect(t, s, "d1")
		running := owner.Record{Job: j, Progress: job.Progress{State: job.Running}}
		puts, deletes := ledger.RecordWrites(running)
		assert.Len(t, puts, running.TxnEntries())
		require.NoError(t, term.Write(ctx, puts, deletes, nil))

		ended := owner.Record{Job: j, Stored: true, Progress: job.Progress{State: job.Failed, EndedAt: time.Now(), Cause: "attempts: 3"}}
		puts, deletes = ledger.RecordWrites(ended)
		assert.Equal(t, ended.TxnEntries(), len(puts)+len(deletes))
		require.NoError(t, term.Write(ctx, puts, deletes, nil))

		require.NoError(t, a.Accept(ctx, j), "repeated submission")
		state, _, known, err := ledger.StateOf(ctx, s, j.ID)
		require.NoError(t, err)
		assert.True(t, known)
		assert.Equal(t, job.Failed, state)
		snap, err := ledger.Load(ctx, s)
		require.NoError(t, err)
		require.Len(t, snap.Jobs, 1)
		assert.Empty(t, snap.Jobs[0].Job.Payload)
		assert.Len(t, snap.Jobs[0].Job.Steps, 1, "the steps that may still run on a worker are known")
		require.NotNil(t, snap.Jobs[0].Progress)
		assert.Equal(t, job.Failed, snap.Jobs[0].Progress.State)
		assert.Equal(t, "attempts: 3", snap.Jobs[0].Progress.Cause)
		assert.Equal(t, "long text", j.Payload, "the submitted job is not modified")
	})
}

// TestNextOwnerBeginsBehindReservedTerms guards against two owners with the same run numbers.
func TestNextOwnerBeginsBehindReservedTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		first := elect(t, s, "d1")
		require.EqualValues(t, 1, first.Number)
		for number := uint64(2); number <= 4; number++ {
			put := ledger.ReserveTerm(number)
			reserved, ok := put.ReservedTerm()
			require.True(t, ok)
			require.Equal(t, number, reserved)
			require.NoError(t, first.Write(t.Context(), []ledger.Put{put}, nil, nil))
		}
		require.NoError(t, first.Release(t.Context(), nil, nil, nil))
		second := elect(t, s, "d2")
		assert.EqualValues(t, 5, second.Number)
		require.Error(t, first.Write(t.Context(), []ledger.Put{ledger.ReserveTerm(9)}, nil, nil))
		require.NoError(t, second.Release(t.Context(), nil, nil, nil))
		assert.EqualValues(t, 6, elect(t, s, "d3").Number)
	})
}

// TestRevocationIsKnownToTheNextOwners: the owners after a term whose lease was revoked know it, for
// as many terms as may begin before its holder notices, each of which reserves two more.
func TestRevocationIsKnownToTheNextOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		var known []bool
		for n := range 7 {
			term := elect(t, s, "d1")
			require.EqualValues(t, 3*n+1, term.Number)
			known = append(known, term.PriorLeaseRevoked)
			if n == 1 {
				require.NoError(t, ledger.RecordRevocation(t.Context(), s, ledger.Lock{Term: term.Number}))
			}
			for more := range uint64(2) {
				require.NoError(t, term.Write(t.Context(), []ledger.Put{ledger.ReserveTerm(term.Number + more + 1)}, nil, nil))
			}
			require.NoError(t, term.Release(t.Context(), nil, nil, nil))
		}
		assert.Equal(t, []bool{false, false, true, true, true, true, false}, known)
	})
}

// TestUnreadableRevocation: an owner that cannot read which term was revoked waits as if it was the last one.
func TestUnreadableRevocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := jobfleet.NewStore().Client("d", &jobfleet.Gate{}, noFailure)
		for _, value := range []string{"", "x", "-1", "18446744073709551615"} {
			_, err := s.Commit(t.Context(), ledger.Txn{Puts: []ledger.Put{{Key: ledger.PrefixOwner + "revoked", Value: []byte(value)}}})
			require.NoError(t, err)
			term := elect(t, s, "d1")
			assert.True(t, term.PriorLeaseRevoked, "value %q", value)
			require.NoError(t, term.Release(t.Context(), nil, nil, nil))
		}
	})
}
