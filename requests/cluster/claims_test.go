package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/once"
	"github.com/postmount/postmount/requests/port"
)

// gonePeer refuses notes until it is back.
type gonePeer struct {
	port.Peers
	back         atomic.Bool
	tries, noted atomic.Int64
}

func (p *gonePeer) Note(context.Context, string, once.Claim) (bool, error) {
	p.tries.Add(1)
	if !p.back.Load() {
		return false, errors.New("connection refused")
	}
	p.noted.Add(1)
	return true, nil
}

// TestNotesWaitForAnOwnerThatIsGone: while the owner of keys was gone each end of an
// attempt was told 40 times a second, by a goroutine of its own, in step with all the
// others: with 300 of them 24,000 tries in the two seconds until another owner is agreed
// on, each a connection that is refused: a fifth of a core, at 16 µs each. They must try
// less often the longer it takes, and the owner must hear of all of them soon after it is
// back.
func TestNotesWaitForAnOwnerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attempts, gone = 300, 2 * time.Second
		peers := &gonePeer{}
		n := New(Options{Self: fleet.Entry{Incarnation: "self"}}, Deps{Peers: peers, Log: zap.NewNop()})
		n.progress.Store(&MemberProgress{View: &fleet.View{Epoch: 1, Members: []fleet.Entry{{Incarnation: "owner", PeerAddr: "owner:1"}}}})
		for i := range attempts {
			a := once.Attempt(fmt.Sprintf("a%d", i))
			n.Claims.open[a] = &openClaim{claim: once.Claim{Key: once.Key(fmt.Sprintf("k%d", i)), Attempt: a}, granted: true}
			n.Claims.End(a, once.Abandoned, nil)
		}
		time.Sleep(gone)
		assert.LessOrEqual(t, peers.tries.Load(), int64(12*attempts), "tries while the owner is gone")
		peers.back.Store(true)
		time.Sleep(500 * time.Millisecond)
		assert.EqualValues(t, attempts, peers.noted.Load(), "heard within half a second")
		n.Claims.wait()
	})
}
