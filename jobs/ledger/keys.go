package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Keys of the store. Submissions and cancellations share a prefix, so that one
// watch of the owner hears of both.
const (
	// PrefixJobs is watched by the owner.
	PrefixJobs      = "jobs/"
	prefixSubmitted = "jobs/in/"
	prefixCancelled = "jobs/cx/"
	prefixProgress  = "progress/"
	// PrefixOwner is watched by every daemon.
	PrefixOwner = "owner/"
	keyLock     = "owner/lock"
	keyTerm     = "owner/term"
	// keySequence is changed by every transaction of the owner, which holds on
	// its last revision: a transaction that the store carries out late fails.
	keySequence = "sequence"
	// PrefixMembers lists the live daemons.
	PrefixMembers = "member/"
	prefixWaves   = "wave/"
)

// Lock says who the owner is. It is under the owner's lease.
type Lock struct {
	Node  string
	Addr  string // of its peer listener
	Term  uint64
	Lease LeaseID `json:"-"` // tells two lives of one daemon apart
}

// Member is a live daemon. It is under the daemon's lease.
type Member struct {
	Node  string
	Addr  string  // of its peer listener
	Cores float64 // what it gets of a processor: its share, less while its instance is slow
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: %T cannot be encoded: %v", v, err)) // our own types always can
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

// DecodeMember decodes an entry under PrefixMembers.
func DecodeMember(i Item) (Member, error) {
	m, err := decode[Member](i)
	if err == nil && (m.Addr == "" || PrefixMembers+m.Node != i.Key) {
		err = fmt.Errorf("key %s: it names daemon %q at %q", i.Key, m.Node, m.Addr)
	}
	return m, err
}

// Change is what a key under PrefixJobs says.
type Change struct {
	Submitted *job.Job   // a job was accepted
	Ended     *EndRecord // it has ended since; nil: not yet
	Cancelled job.ID     // or a job's caller has cancelled it
}

// EndRecord is what is kept of a job that has ended.
type EndRecord struct {
	State job.State
	At    time.Time
}

// submission is the value of a key under prefixSubmitted. Once its job has ended it
// is written anew without the payload: the key has to stay, so that the caller's
// repeated submission is not taken for a new one, and a new owner reads all of them.
type submission struct {
	job.Job
	Ended *EndRecord `json:",omitempty"`
}

// DecodeChange decodes a key under PrefixJobs; ok is false for one of neither
// kind.
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

// decodeSubmission decodes a key under prefixSubmitted. Bytes of another writer may make
// a job that nobody can run.
func decodeSubmission(i Item) (submission, error) {
	s, err := decode[submission](i)
	if err != nil {
		return s, err
	}
	switch id := idOf(i.Key, prefixSubmitted); {
	case !job.ValidID(string(id)) || s.ID != id:
		err = fmt.Errorf("it is of job %q", s.ID)
	case s.Ended != nil && !s.Ended.State.Final():
		err = fmt.Errorf("it has ended as %q", s.Ended.State)
	case s.Ended == nil || len(s.Steps) > 0:
		err = s.Validate()
	}
	if err != nil {
		return s, fmt.Errorf("key %s: %w", i.Key, err)
	}
	return s, nil
}

// EncodeMember is the inverse of DecodeMember.
func EncodeMember(m Member) []byte { return encode(m) }
