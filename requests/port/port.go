// Package port declares the interfaces to external systems: the platform's
// store, instance list and instance actions, workers' task APIs, backend
// servers, and peers. Packages under adapter implement them.
package port

import (
	"context"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/verdict"
)

// LeaseID identifies a store lease; 0 means none.
type LeaseID int64

// KV is one key of the store.
type KV struct {
	Key      string
	Value    []byte
	Revision fleet.Revision // modification revision
}

// Listing is every key under a prefix at one revision.
type Listing struct {
	KVs      []KV
	Revision fleet.Revision
}

// Event is one change seen by a watch. A deletion has Deleted set and no value.
type Event struct {
	KV
	Deleted bool
}

// Store is the platform's key-value store. Every method makes one call.
//
// The error of a failed write carries a verdict: NotRun if the write certainly
// had no effect, MayHaveRun otherwise.
type Store interface {
	Get(ctx context.Context, key string) (kv KV, found bool, err error)
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes value if key is at revision expect (0: absent).
	// If key is at another revision, swapped is false and err is nil.
	CompareAndSwap(ctx context.Context, key string, expect fleet.Revision, value []byte, lease LeaseID) (rev fleet.Revision, swapped bool, err error)
	// CompareAndDelete removes key if it is at revision expect.
	CompareAndDelete(ctx context.Context, key string, expect fleet.Revision) (deleted bool, err error)
	// Watch calls fn with the changes under prefix after revision from, until
	// ctx ends or the stream breaks; it always returns an error. fn is also
	// called without events when the stream is known to be alive.
	Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]Event)) error
	// GrantLease creates a lease that expires ttl after its last renewal. Keys
	// written with the lease are deleted when it expires or is revoked.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; alive is false if it had expired.
	KeepAlive(ctx context.Context, id LeaseID) (alive bool, err error)
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Error codes of a Store.
const (
	CodeStoreUnavailable verdict.Code = "store-unavailable"
	CodeStoreRateLimited verdict.Code = "store-rate-limited"
	CodeStoreCompacted   verdict.Code = "store-compacted"
)

// InstanceChanges are the instances whose entry in the platform's list changed
// after a version.
type InstanceChanges struct {
	Version int64 // to pass to the next call of Changes
	// Full reports that Instances is the whole list, because the platform does
	// not know the requested version.
	Full      bool
	Instances []fleet.Instance
	// GoneEntries lists the incarnations of entry daemons that the platform
	// knows to have ended.
	GoneEntries []fleet.Incarnation
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind their actual state.
type InstanceList interface {
	// Changes returns what changed after version since; 0 asks for everything.
	Changes(ctx context.Context, since int64) (InstanceChanges, error)
}

// Actions sends commands for instances to the platform. A command is idempotent
// by its ID and is refused if its generation is not the instance's.
type Actions interface {
	Send(ctx context.Context, instance fleet.InstanceID, cmd fleet.Command) error
}

// Tasks reaches the task API of one worker.
type Tasks interface {
	// Sync renews the leases of the tasks in req.Keep, starts those in
	// req.Start, stops those in req.Stop, and returns every task the worker knows.
	Sync(ctx context.Context, addr string, req TaskSyncRequest) ([]fleet.Task, error)
}

// TaskStart asks a worker to run one attempt of a job.
type TaskStart struct {
	Pool    fleet.PoolName
	Job     fleet.JobName
	Attempt int
	Need    fleet.Resources
	RunFor  time.Duration
}

// TaskRef identifies one attempt of a job.
type TaskRef struct {
	Pool    fleet.PoolName
	Job     fleet.JobName
	Attempt int
}

// TaskSyncRequest lists the tasks that a worker is to start, keep and stop.
type TaskSyncRequest struct {
	Lease time.Duration // how long a task may run without renewal
	Start []TaskStart
	Keep  []TaskRef
	Stop  []TaskRef
	// Checkpoint asks stopped tasks to save their state first.
	Checkpoint bool
}
