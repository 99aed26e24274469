package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// fakeOwner answers Admit.
type fakeOwner struct {
	Peers
	reply peer.AdmitReply
	err   error
	asked *int
}

func (f fakeOwner) Admit(context.Context, string, *job.Job) (peer.AdmitReply, error) {
	*f.asked++
	return f.reply, f.err
}

// fakeJobStore holds the same entry under every key, or none.
type fakeJobStore struct {
	ledger.Store
	known bool
	err   error
}

func (f fakeJobStore) Get(context.Context, string, bool) (ledger.Item, bool, error) {
	return ledger.Item{}, f.known, f.err
}

// TestCheckAdmission: the owner is asked only about jobs that the hint concerns. Without a clear
// answer, and if the job may be in the store, nobody is refused; a refusal says that the job has
// not run.
func TestCheckAdmission(t *testing.T) {
	refused := peer.AdmitReply{Owner: true, Decision: admission.Decision{Reason: admission.PoolFull, LateBy: time.Second, RetryAfter: 2 * time.Second}}
	congested, lock := &admission.Hint{Congested: []string{"s"}}, &ledger.Lock{Addr: "o"}
	for _, c := range []struct {
		name  string
		hint  *admission.Hint
		lock  *ledger.Lock
		owner fakeOwner
		store fakeJobStore
		asked int
		want  verdict.Code
	}{
		{"refused", congested, lock, fakeOwner{reply: refused}, fakeJobStore{}, 1, codeOverloaded},
		{"can never run", congested, lock, fakeOwner{reply: peer.AdmitReply{Owner: true, Decision: admission.Decision{Reason: admission.NoInstanceFits}}}, fakeJobStore{}, 1, codeImpossible},
		{"no hint", nil, lock, fakeOwner{reply: refused}, fakeJobStore{}, 0, ""},
		{"the hint concerns another service", &admission.Hint{Congested: []string{"other"}}, lock, fakeOwner{reply: refused}, fakeJobStore{}, 0, ""},
		{"no owner", congested, nil, fakeOwner{reply: refused}, fakeJobStore{}, 0, ""},
		{"the owner does not answer", congested, lock, fakeOwner{err: errors.New("timeout")}, fakeJobStore{}, 1, ""},
		{"the peer is not the owner", congested, lock, fakeOwner{reply: peer.AdmitReply{Decision: refused.Decision}}, fakeJobStore{}, 1, ""},
		{"the job is in the store", congested, lock, fakeOwner{reply: refused}, fakeJobStore{known: true}, 1, ""},
		{"the store does not answer", congested, lock, fakeOwner{reply: refused}, fakeJobStore{err: errors.New("away")}, 1, ""},
	} {
		asked := 0
		c.owner.asked = &asked
		n := &Node{log: zap.NewNop(), peers: c.owner, store: ledger.NewFailover(c.store, noRelays{}, time.Now, func(error) {}), metrics: NewMetrics(tally.NoopScope, nil)}
		n.admissionHint.Store(c.hint)
		n.lock.Store(c.lock)
		err := n.checkAdmission(t.Context(), &job.Job{ID: "a", Service: "s"})
		if c.owner.err != nil || c.lock != nil && c.asked > 0 && !c.owner.reply.Owner {
			assert.Nil(t, n.admissionHint.Load(), "%s: the next submission does not wait", c.name)
		}
		assert.Equal(t, c.asked, asked, c.name)
		if c.want == "" {
			assert.NoError(t, err, c.name)
			continue
		}
		assert.Equal(t, c.want, verdict.CodeOf(err), c.name)
		assert.Equal(t, verdict.NotRun, verdict.Of(err), c.name)
	}
}
