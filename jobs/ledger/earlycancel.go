package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// A cancellation may overtake the submission of its job, which still waits in a daemon that does not run, or is in
// flight to the store. So the cancellation of a job that is not in the store is stored, too, for a while: a submission
// is stored only on condition that there is none.

// Bounds of early cancellations.
const (
	// earlyCancelTTL is the TTL of a lease to which early cancellations are attached.
	earlyCancelTTL = 90 * time.Second
	// earlyCancelLeaseUse is for how long a lease gets new ones. Each is kept for the rest of the TTL at least, longer
	// than a submission is on its way.
	earlyCancelLeaseUse = 30 * time.Second
	// earlyCancelsPerSecond and earlyCancelBurst bound how many a daemon stores, as callers may cancel any ID.
	earlyCancelsPerSecond = 20
	earlyCancelBurst      = 100
)

// Codes of early cancellations.
const (
	// CodeCancelledEarly means that a submission was refused because its job was cancelled before.
	CodeCancelledEarly verdict.Code = "cancelled-before-submission"
	// CodeTooManyEarlyCancels means that the cancellation of an unknown job was refused, as too many are stored.
	CodeTooManyEarlyCancels verdict.Code = "too-many-early-cancellations"
)

// EarlyCancels stores the cancellations of jobs that are not in the store.
type EarlyCancels struct {
	store Store
	now   func() time.Time

	mu         sync.Mutex
	lease      LeaseID // that new entries are attached to; 0: none
	leaseSince time.Time
	tokens     float64 // entries that may be stored now
	refilledAt time.Time
}

// NewEarlyCancels returns early cancellations that are kept in a store.
func NewEarlyCancels(s Store, now func() time.Time) *EarlyCancels {
	return &EarlyCancels{store: s, now: now, tokens: earlyCancelBurst, refilledAt: now()}
}

// earlyCancelKey returns the key of a tenant's early cancellation. That of one tenant does not concern the jobs of
// others. The key contains a digest of the tenant's name, as the store bounds the length of keys.
func earlyCancelKey(id job.ID, tenant string) string {
	key := prefixEarlyCancel + string(id)
	if tenant != "" {
		digest := sha256.Sum256([]byte(tenant))
		key += "/" + hex.EncodeToString(digest[:8])
	}
	return key
}

// Record stores a tenant's cancellation of a job unless the job is in the store; recorded is false if it is.
func (e *EarlyCancels) Record(ctx context.Context, id job.ID, tenant string) (recorded bool, err error) {
	if !e.takeToken() {
		return false, verdict.New(verdict.NotRun, CodeTooManyEarlyCancels, "job %s is not known, and %d cancellations of unknown jobs a second are stored at most", id, earlyCancelsPerSecond)
	}
	for {
		lease, err := e.currentLease(ctx)
		if err != nil {
			return false, err
		}
		res, err := e.store.Commit(ctx, Txn{
			If:   []Condition{{Key: prefixSubmitted + string(id)}},
			Puts: []Put{{Key: earlyCancelKey(id, tenant), Value: []byte("{}"), Lease: lease}},
		})
		if err != nil || !res.LeaseGone {
			return res.Committed, err
		}
		e.dropLease(lease)
	}
}

// takeToken reports whether another entry may be stored now.
func (e *EarlyCancels) takeToken() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.tokens = min(earlyCancelBurst, e.tokens+earlyCancelsPerSecond*now.Sub(e.refilledAt).Seconds())
	e.refilledAt = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// currentLease returns the lease for new entries. It grants one if there is none that has lasted for less than
// earlyCancelLeaseUse; concurrent calls may grant several.
func (e *EarlyCancels) currentLease(ctx context.Context) (LeaseID, error) {
	e.mu.Lock()
	lease, now := e.lease, e.now()
	usable := lease != 0 && now.Sub(e.leaseSince) < earlyCancelLeaseUse
	e.mu.Unlock()
	if usable {
		return lease, nil
	}
	lease, err := e.store.GrantLease(ctx, earlyCancelTTL)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.leaseSince = lease, now
	return lease, nil
}

// dropLease stops using a lease that has ended.
func (e *EarlyCancels) dropLease(id LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == id {
		e.lease = 0
	}
}
