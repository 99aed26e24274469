package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/standin/jobfleet"
)

// TestLockWithoutALeaseIsReplaced guards against an entry that blocks all elections: it names an owner, but
// is attached to no lease, so that it would never be removed.
func TestLockWithoutALeaseIsReplaced(t *testing.T) {
	for _, value := range []string{`{"Node":"x","Addr":"10.0.0.1:1","Term":1}`, `{"Node":"x","Addr":"10.0.0.1:1","Term":18446744073709551615}`} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			store := jobfleet.NewStore()
			s := store.Client("d", &jobfleet.Gate{}, noFailure)
			store.Put("owner/lock", []byte(value))
			_, revision, held, err := ledger.ReadLock(ctx, s)
			require.NoError(t, err)
			require.False(t, held)
			lease, err := s.GrantLease(ctx, time.Minute)
			require.NoError(t, err)
			term, err := ledger.Elect(ctx, s, ledger.Member{Node: "d2", Addr: "a"}, lease, revision)
			require.NoError(t, err)
			require.NotNil(t, term)
			require.NoError(t, term.Write(ctx, nil, nil, nil))
			l, _, held, err := ledger.ReadLock(ctx, s)
			require.NoError(t, err)
			assert.True(t, held)
			assert.Equal(t, "d2", l.Node)
		})
	}
}

// TestMemberWithoutALeaseIsRefused guards against a daemon that does not exist, but counts as alive for
// ever: an owner yields to one that claims more CPU, again and again, and calls are relayed to it.
func TestMemberWithoutALeaseIsRefused(t *testing.T) {
	value := []byte(`{"Node":"x","Addr":"10.0.0.1:1","Cores":1e300}`)
	_, err := ledger.DecodeMember(ledger.Item{Key: "member/x", Value: value})
	require.ErrorContains(t, err, "member/x")
	_, err = ledger.DecodeMember(ledger.Item{Key: "member/x", Value: value, Lease: 7})
	require.NoError(t, err)
	for _, odd := range []string{``, `null`, `[]`, `7`, "\xff", `{"Node":"y","Addr":"a"}`, `{"Node":"x"}`, `{"Node":"x","Addr":7}`, `{"Node":"x","Addr":"a","Cores":1e400}`} {
		_, err := ledger.DecodeMember(ledger.Item{Key: "member/x", Value: []byte(odd), Lease: 7})
		require.Error(t, err, odd)
	}
}
