package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRegistrationsLostInAStoreOutage: entries that expired during a store outage are deleted
// when the store is available again, and written again soon after. Their workers count as
// registered for reregistrationGrace; those still missing then do not.
func TestRegistrationsLostInAStoreOutage(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	back := r.regs[0]
	r.now = r.now.Add(storeOutageGap + time.Second)
	r.core.UpdateRegistrations(nil, []WorkerID{a, b}, true, r.now)
	assert.True(t, r.core.workers[a].registered)
	r.now = r.now.Add(time.Second)
	r.core.UpdateRegistrations([]Registration{back}, nil, true, r.now)
	for range 2 { // updates without changes
		r.now = r.now.Add(reregistrationGrace / 2)
		r.core.UpdateRegistrations(nil, nil, true, r.now)
	}
	assert.True(t, r.core.workers[a].registered, "registered again")
	assert.False(t, r.core.workers[b].registered, "still missing, without a further change that says so")
}

// TestDeletedRegistration: without a store outage, a worker gets no new tasks once its
// registration is deleted.
func TestDeletedRegistration(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	r.core.UpdateRegistrations(nil, []WorkerID{a}, true, r.now)
	r.submit(1, 6)
	for _, s := range r.confirmStarts() {
		assert.Equal(t, b, s.Worker)
	}
}
