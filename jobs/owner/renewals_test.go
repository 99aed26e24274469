package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRenewalsPending: a new owner has renewed a worker's lease once a second call to it was sent,
// some time ago. Workers that do not answer or have ended are not waited for.
func TestRenewalsPending(t *testing.T) {
	r := newRig(t, 2)
	assert.True(t, r.core.RenewalsPending(r.now), "the registrations are not known")
	r.worker("a")
	r.worker("b")
	assert.True(t, r.core.RenewalsPending(r.now), "no clock is known")
	r.core.leaseEndFor(r.core.workers["a"], r.now) // for a start, which a leaving owner does not send
	r.tick(renewalSendTime)
	assert.True(t, r.core.RenewalsPending(r.now), "only holds renew leases for certain")
	r.failHold("b")
	r.answerHold("a", nil)
	r.tick(25 * time.Millisecond)
	assert.True(t, r.core.RenewalsPending(r.now), "the renewal has just been ordered")
	r.tick(renewalSendTime)
	assert.False(t, r.core.RenewalsPending(r.now), "b does not answer")
	r.answerHold("a", nil)
	r.tick(25 * time.Millisecond)
	assert.False(t, r.core.RenewalsPending(r.now), "later renewals are not waited for")
	r.worker("c")
	assert.True(t, r.core.RenewalsPending(r.now))
	r.now = r.now.Add(r.core.maxLeaseDuration())
	assert.False(t, r.core.RenewalsPending(r.now), "every lease of an earlier owner has ended")
	assert.False(t, newRig(t, 1).core.RenewalsPending(r.now), "there was no earlier owner")
}
