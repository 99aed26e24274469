package node

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
)

// fakePresences is a daemon's peers: what it sees of the owner itself, and what others say.
type fakePresences struct {
	Peers
	own    peer.Presence
	others map[string]peer.Presence // one that is missing cannot be asked
}

func (s fakePresences) CheckPresence(context.Context, string) peer.Presence { return s.own }

func (s fakePresences) CheckPresenceVia(_ context.Context, by, _ string) (peer.Presence, error) {
	if p, ok := s.others[by]; ok {
		return p, nil
	}
	return peer.Unknown, errors.New("no answer")
}

// TestOwnerGoneNeedsConfirmationByPeers: a partition that refuses connections must not cost
// an owner its lock that others reach.
func TestOwnerGoneNeedsConfirmationByPeers(t *testing.T) {
	const absent, present, unknown = peer.Absent, peer.Present, peer.Unknown
	for _, c := range []struct {
		name   string
		own    peer.Presence
		others map[string]peer.Presence
		gone   bool
	}{
		{"all find nobody", absent, map[string]peer.Presence{"b": absent, "c": absent}, true},
		{"it is only reset", present, map[string]peer.Presence{"b": absent, "c": absent}, false},
		{"it is silent", unknown, map[string]peer.Presence{"b": absent, "c": absent}, false},
		{"all others reach it", absent, map[string]peer.Presence{"b": present, "c": present}, false},
		{"others are cut off", absent, map[string]peer.Presence{"b": unknown, "c": unknown}, false},
		{"one other cannot be asked", absent, map[string]peer.Presence{"c": absent}, true},
		{"no other can be asked", absent, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &Node{settings: Settings{Node: "a"}, clock: &fakeClock{}, peers: fakePresences{own: c.own, others: c.others}, log: zap.NewNop(), rng: newLockedRand("a")}
			n.members.Store(&[]ledger.Member{{Node: "a", Addr: "a"}, {Node: "b", Addr: "b"}, {Node: "c", Addr: "c"}, {Node: "o", Addr: "o"}})
			assert.Equal(t, c.gone, n.ownerGone(context.Background(), &ledger.Lock{Node: "o", Addr: "o"}))
		})
	}
}

// TestMayReplaceOnlyOwnerWithSimilarCPU: it leaves the lease to end by itself.
func TestMayReplaceOnlyOwnerWithSimilarCPU(t *testing.T) {
	list := []ledger.Member{{Node: "strong", Cores: 0.8}, {Node: "alike", Cores: 0.7}, {Node: "weak", Cores: 0.2}}
	for _, c := range []struct {
		self  string
		cores float64
		owner string
		may   bool
	}{
		{"alike", 0.7, "strong", true},
		{"weak", 0.2, "strong", false},
		{"strong", 0.8, "weak", true},
		{"weak", 0.2, "unknown", true},
	} {
		n := &Node{settings: Settings{Node: c.self, Cores: c.cores}, clock: &fakeClock{}}
		n.members.Store(&list)
		assert.Equal(t, c.may, n.mayReplace(c.owner), "%s for %s", c.self, c.owner)
	}
}
