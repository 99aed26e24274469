package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/port"
)

// transferTarget is a peer that records the transfers it receives.
type transferTarget struct {
	port.Peers
	mu       sync.Mutex
	received []idempotency.Claim
}

func (p *transferTarget) Transfer(_ context.Context, _ string, tr idempotency.Transfer) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = append(p.received, tr.Claims...)
	return true, nil
}

func (p *transferTarget) ReportAttempt(context.Context, string, idempotency.Claim) (bool, error) {
	return false, nil
}

// TestTheEndOfAnAttemptOnAnOwnKeyIsHandedOver: a daemon ends an attempt on a key that it owns
// itself, and leaves the view at once. The claim that it hands over has ended. Its new owner takes a
// running attempt of a daemon that has left for one whose outcome is unknown.
func TestTheEndOfAnAttemptOnAnOwnKeyIsHandedOver(t *testing.T) {
	const plays = 200 // the end used to be recorded by a goroutine, which sometimes came first
	for range plays {
		synctest.Test(t, func(t *testing.T) {
			self, other := fleet.Entry{ID: "a", Incarnation: "a"}, fleet.Entry{ID: "b", Incarnation: "b", PeerAddr: "b"}
			peers := &transferTarget{}
			n := New(Options{Self: self, Idempotency: idempotency.DefaultOptions, Member: member.DefaultOptions}, Deps{Peers: peers, Log: zap.NewNop()})
			setView := func(v *fleet.View) {
				n.progress.Store(&MemberProgress{View: v})
				n.Claims.setView(t.Context(), v)
			}
			setView(&fleet.View{Epoch: 1, Members: []fleet.Entry{self}})
			n.servingStatus.Store(&member.ServingStatus{Epoch: 1, EarlierViewsRetired: true, ServeUntil: time.Now().Add(time.Hour)})

			id, err := uuid.NewV7()
			require.NoError(t, err)
			attempt, reply, err := n.Claims.RequestClaim(t.Context(), idempotency.Key(id.String()), idempotency.Fingerprint{})
			require.NoError(t, err)
			require.Equal(t, idempotency.Granted, reply.Result)
			n.Claims.EndAttempt(attempt, idempotency.Finished, &idempotency.Answer{Status: 200})
			setView(&fleet.View{Epoch: 2, Members: []fleet.Entry{other}})
			synctest.Wait()

			close(n.done) // ends the retries of reports
			n.Claims.wait()
			require.Len(t, peers.received, 1)
			assert.Equal(t, idempotency.Finished, peers.received[0].Status)
			assert.NotNil(t, peers.received[0].Answer)
		})
		if t.Failed() {
			return
		}
	}
}
