package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// fakePresences fakes what this daemon and its peers see of the owner.
type fakePresences struct {
	Peers
	own    peer.Presence
	others map[string]peer.Presence // by the peer asked; one that is missing does not reply
}

func (s fakePresences) CheckPresence(context.Context, string) peer.Presence { return s.own }

func (s fakePresences) CheckPresenceVia(_ context.Context, by, _ string) (peer.Presence, error) {
	if p, ok := s.others[by]; ok {
		return p, nil
	}
	return peer.Unknown, errors.New("no answer")
}

// TestOwnerGoneNeedsConfirmationByPeers: an owner that other daemons reach must not lose its lock
// to a partition that refuses connections.
func TestOwnerGoneNeedsConfirmationByPeers(t *testing.T) {
	const absent, present, unknown = peer.Absent, peer.Present, peer.Unknown
	for _, c := range []struct {
		name   string
		own    peer.Presence
		others map[string]peer.Presence
		gone   bool
	}{
		{"all find no process", absent, map[string]peer.Presence{"b": absent, "c": absent}, true},
		{"the connection was only reset", present, map[string]peer.Presence{"b": absent, "c": absent}, false},
		{"the owner does not respond", unknown, map[string]peer.Presence{"b": absent, "c": absent}, false},
		{"all others reach it", absent, map[string]peer.Presence{"b": present, "c": present}, false},
		{"others are partitioned from it", absent, map[string]peer.Presence{"b": unknown, "c": unknown}, false},
		{"one peer does not answer", absent, map[string]peer.Presence{"c": absent}, true},
		{"no peer answers", absent, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &Node{settings: Settings{Node: "a"}, clock: &fakeClock{}, peers: fakePresences{own: c.own, others: c.others}, log: zap.NewNop(), rng: newLockedRand("a")}
			n.members.Store(&[]ledger.Member{{Node: "a", Addr: "a"}, {Node: "b", Addr: "b"}, {Node: "c", Addr: "c"}, {Node: "o", Addr: "o"}})
			assert.Equal(t, c.gone, n.ownerGone(context.Background(), &ledger.Lock{Node: "o", Addr: "o"}))
		})
	}
}

// TestMayReplaceOnlyOwnerWithSimilarCPU: a daemon with far less CPU than the owner waits until the
// owner's lease has expired.
func TestMayReplaceOnlyOwnerWithSimilarCPU(t *testing.T) {
	list := []ledger.Member{{Node: "large", Cores: 0.8}, {Node: "similar", Cores: 0.7}, {Node: "small", Cores: 0.2}}
	for _, c := range []struct {
		self  string
		cores float64
		owner string
		may   bool
	}{
		{"similar", 0.7, "large", true},
		{"small", 0.2, "large", false},
		{"large", 0.8, "small", true},
		{"small", 0.2, "unknown", true},
	} {
		n := &Node{settings: Settings{Node: c.self, Cores: c.cores}, clock: &fakeClock{}}
		n.members.Store(&list)
		assert.Equal(t, c.may, n.mayReplace(c.owner), "%s replaces %s", c.self, c.owner)
	}
}

// closedConnection is a peer that cannot be reached, as its process has ended.
type closedConnection struct{ fakePresences }

func (closedConnection) AwaitDisconnect(context.Context, string) error { return errors.New("refused") }

// revocationStore records the calls of a revocation in order.
type revocationStore struct {
	ledger.Store
	commitErr error
	calls     []string
}

func (s *revocationStore) Commit(_ context.Context, txn ledger.Txn) (ledger.TxnResult, error) {
	s.calls = append(s.calls, "record "+string(txn.Puts[0].Value))
	return ledger.TxnResult{Committed: s.commitErr == nil}, s.commitErr
}

func (s *revocationStore) EndLease(context.Context, ledger.LeaseID) error {
	s.calls = append(s.calls, "end lease")
	return nil
}

// TestRevocationIsRecordedFirst: the lease of an owner that may be alive is not revoked unless the
// next owner will know of it.
func TestRevocationIsRecordedFirst(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, ledger.CodeStoreUnavailable, "refused")
	for _, c := range []struct {
		name      string
		commitErr error
		calls     []string
	}{
		{"recorded", nil, []string{"record 7", "end lease"}},
		{"not recorded", notRun, []string{"record 7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &revocationStore{commitErr: c.commitErr}
				peers := closedConnection{fakePresences{own: peer.Absent, others: map[string]peer.Presence{"b": peer.Absent, "c": peer.Absent}}}
				n := &Node{settings: Settings{Node: "a"}, clock: &fakeClock{}, peers: peers, log: zap.NewNop(), rng: newLockedRand("a")}
				n.store = ledger.NewFailover(s, noRelays{}, time.Now, func(error) {})
				n.members.Store(&[]ledger.Member{{Node: "a", Addr: "a"}, {Node: "b", Addr: "b"}, {Node: "c", Addr: "c"}, {Node: "o", Addr: "o"}})
				l := &ledger.Lock{Node: "o", Addr: "o", Term: 7, Lease: 3}
				n.lock.Store(l)
				n.watchOwnerConnection(t.Context(), l)
				assert.Equal(t, c.calls, s.calls)
			})
		})
	}
}
