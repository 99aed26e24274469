package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Keys of the store. Submissions and cancellations share a prefix, so that the owner watches
// both with one call.
const (
	// PrefixJobs is watched by the owner.
	PrefixJobs      = "jobs/"
	prefixSubmitted = "jobs/in/"
	prefixCancelled = "jobs/cx/"
	prefixProgress  = "progress/"
	// prefixEarlyCancel contains cancellations of jobs that were not in the store; see EarlyCancels.
	prefixEarlyCancel = "early-cancel/"
	// PrefixOwner is watched by every daemon.
	PrefixOwner = "owner/"
	keyLock     = "owner/lock"
	keyTerm     = "owner/term"
	// keyRevoked holds the number of the last term whose lease another daemon has revoked.
	keyRevoked = "owner/revoked"
	// keySequence is written by every transaction of the owner, on condition that its revision is
	// that of the previous one, so that a transaction that arrives late fails.
	keySequence = "sequence"
	// PrefixMembers contains the live daemons.
	PrefixMembers = "member/"
	prefixWaves   = "wave/"
	// prefixSettled contains the settled incarnations of workers, in owner.SettledShards items.
	prefixSettled = "settled/"
)

// Lock identifies the owner. Its key is attached to the owner's lease.
type Lock struct {
	Node  string
	Addr  string // of the owner's peer listener
	Term  uint64
	Lease LeaseID `json:"-"` // distinguishes incarnations of the daemon
}

// Member is a live daemon. Its key is attached to the daemon's lease.
type Member struct {
	Node  string
	Addr  string  // of the daemon's peer listener
	Cores float64 // CPU that it gets at present, in cores; lower while its instance is slow
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: %T cannot be encoded: %v", v, err)) // cannot happen for this package's types
	}
	return raw
}

func decode[T any](i Item) (T, error) {
	var v T
	if err := json.Unmarshal(i.Value, &v); err != nil {
		return v, fmt.Errorf("key %s: %w", i.Key, err)
	}
	return v, nil
}

// DecodeMember decodes an entry under PrefixMembers. One without a lease is not a daemon's, and would never
// be removed.
func DecodeMember(i Item) (Member, error) {
	m, err := decode[Member](i)
	if err == nil && (m.Addr == "" || PrefixMembers+m.Node != i.Key || i.Lease == 0) {
		err = fmt.Errorf("key %s: invalid member: node %q, address %q, lease %d", i.Key, m.Node, m.Addr, i.Lease)
	}
	return m, err
}

// Change is the decoded value of a key under PrefixJobs: a submission or a cancellation.
type Change struct {
	Submitted *job.Job   // nil for a cancellation
	Ended     *EndRecord // of the submitted job; nil: it has not ended
	Cancelled job.ID     // ID of the cancelled job
}

// EndRecord is the stored outcome of a job that has ended.
type EndRecord struct {
	State job.State
	At    time.Time
	Cause string `json:",omitempty"` // why a failed job failed; see job.Progress
}

// submission is the value of a key under prefixSubmitted. Once its job has ended it is replaced
// by one without the payload and the queue's settings: the key has to stay, so that a repeated
// submission is not taken for a new one, and it should be small, as a new owner reads all of them.
type submission struct {
	job.Job
	Ended *EndRecord `json:",omitempty"`
}

// DecodeChange decodes an item under PrefixJobs; ok is false if it is neither a submission nor
// a cancellation.
func DecodeChange(i Item) (ch Change, ok bool, err error) {
	if id, found := strings.CutPrefix(i.Key, prefixCancelled); found {
		return Change{Cancelled: job.ID(id)}, true, nil
	}
	if !strings.HasPrefix(i.Key, prefixSubmitted) {
		return Change{}, false, nil
	}
	s, err := decodeSubmission(i)
	return Change{Submitted: &s.Job, Ended: s.Ended}, err == nil, err
}

// decodeSubmission decodes and validates an item under prefixSubmitted. The value may have been
// written by another program and describe a job that no worker can run.
func decodeSubmission(i Item) (submission, error) {
	s, err := decode[submission](i)
	if err != nil {
		return s, err
	}
	switch id := idOf(i.Key, prefixSubmitted); {
	case !job.ValidID(string(id)) || s.ID != id:
		err = fmt.Errorf("job ID %q does not match the key", s.ID)
	case s.Ended != nil && !s.Ended.State.Final():
		err = fmt.Errorf("end state %q is not a final state", s.Ended.State)
	case s.Ended == nil || len(s.Steps) > 0:
		err = s.Validate()
	}
	if err != nil {
		return s, fmt.Errorf("key %s: %w", i.Key, err)
	}
	return s, nil
}

// EncodeMember encodes the value that DecodeMember decodes.
func EncodeMember(m Member) []byte { return encode(m) }
