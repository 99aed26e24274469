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
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/port"
)

// unreachablePeer refuses reports of attempts until reachable is set.
type unreachablePeer struct {
	port.Peers
	reachable       atomic.Bool
	tries, recorded atomic.Int64
}

func (p *unreachablePeer) ReportAttempt(context.Context, string, idempotency.Claim) (bool, error) {
	p.tries.Add(1)
	if !p.reachable.Load() {
		return false, errors.New("connection refused")
	}
	p.recorded.Add(1)
	return true, nil
}

// TestReportsBackOffWhileTheOwnerIsUnreachable guards against reports that are all
// retried every 25 ms while the owner of their keys is down. With 300 attempts that made
// 24,000 refused connections of 16 µs each, a fifth of a core, in the two seconds until
// the view changed. Retries must back off, and all reports must arrive soon after the
// owner is back.
func TestReportsBackOffWhileTheOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attempts, outage = 300, 2 * time.Second
		peers := &unreachablePeer{}
		n := New(Options{Self: fleet.Entry{Incarnation: "self"}}, Deps{Peers: peers, Log: zap.NewNop()})
		n.progress.Store(&MemberProgress{View: &fleet.View{Epoch: 1, Members: []fleet.Entry{{Incarnation: "owner", PeerAddr: "owner:1"}}}})
		for i := range attempts {
			a := idempotency.AttemptID(fmt.Sprintf("a%d", i))
			n.Claims.attempts[a] = &localAttempt{claim: idempotency.Claim{Key: idempotency.Key(fmt.Sprintf("k%d", i)), Attempt: a}, granted: true}
			n.Claims.EndAttempt(a, idempotency.Abandoned, nil)
		}
		time.Sleep(outage)
		assert.LessOrEqual(t, peers.tries.Load(), int64(12*attempts), "reports sent while the owner is unreachable")
		peers.reachable.Store(true)
		time.Sleep(500 * time.Millisecond)
		assert.EqualValues(t, attempts, peers.recorded.Load(), "reports recorded within half a second")
		n.Claims.wait()
	})
}
