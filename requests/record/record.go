// Package record stores domain records in the platform's key-value store. It
// writes them by compare-and-swap and finds out whether a write took effect if its
// answer was lost.
package record

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Root is the prefix of all keys that postmount writes.
const Root = "postmount/"

// Keys and key prefixes below Root.
const (
	ConfigKey    = Root + "config"
	ViewKey      = Root + "view"
	PoolPrefix   = Root + "pool/"
	MemberPrefix = Root + "members/"
	WavePrefix   = Root + "wave/"
	JobsPrefix   = Root + "jobs/"
	EntryPrefix  = Root + "entry/"
)

// PoolKey returns the key of a pool's record.
func PoolKey(p fleet.PoolName) string { return PoolPrefix + string(p) }

// WaveKey returns the key of a wave's record.
func WaveKey(w fleet.WaveName) string { return WavePrefix + string(w) }

// JobsKey returns the key of a pool's jobs.
func JobsKey(p fleet.PoolName) string { return JobsPrefix + string(p) }

// EntryKey returns the key of an entry daemon's registration.
func EntryKey(e fleet.EntryID) string { return EntryPrefix + string(e) }

// ShardKey returns the key of a membership shard.
func ShardKey(i int) string { return fmt.Sprintf("%s%02d", MemberPrefix, i) }

// ParseShardKey returns the shard number of a key below MemberPrefix.
func ParseShardKey(key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, MemberPrefix))
}

// maxTokens is the number of write tokens kept in a record. A writer whose answer was
// lost can find out the outcome as long as fewer than maxTokens writes followed.
const maxTokens = 16

// envelope is the stored form of a record.
type envelope struct {
	// Tokens identify the last writes, oldest first.
	Tokens []string        `json:"tokens"`
	Data   json.RawMessage `json:"data"`
}

// Decode decodes a stored record.
func Decode[T any](kv port.KV) (fleet.Versioned[T], error) {
	var env envelope
	if err := json.Unmarshal(kv.Value, &env); err != nil {
		return fleet.Versioned[T]{}, fmt.Errorf("record %s: %w", kv.Key, err)
	}
	value := new(T)
	if err := json.Unmarshal(env.Data, value); err != nil {
		return fleet.Versioned[T]{}, fmt.Errorf("record %s: %w", kv.Key, err)
	}
	return fleet.Versioned[T]{Value: value, Revision: kv.Revision, Tokens: env.Tokens}, nil
}

func encode[T any](value *T, tokens []string) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{Tokens: tokens, Data: data})
}

// Codes of write errors.
const (
	// CodeConflict means that another writer changed the record first.
	CodeConflict verdict.Code = "conflict"
	// CodeUnknownOutcome means that the write may or may not have taken effect.
	CodeUnknownOutcome verdict.Code = "unknown-outcome"
)

// Writer writes records. Create it with NewWriter.
type Writer struct {
	store           port.Store
	newToken        func() string // returns a unique write token
	resolveInterval time.Duration // pause between attempts to find out whether a write took effect
}

// defaultResolveInterval is the resolveInterval of NewWriter.
const defaultResolveInterval = 50 * time.Millisecond

// NewWriter returns a writer whose tokens are random UUIDs.
func NewWriter(store port.Store) *Writer {
	return &Writer{store: store, newToken: uuid.NewString, resolveInterval: defaultResolveInterval}
}

// Written is the result of a successful write.
type Written struct {
	KV port.KV // as stored, so that the caller can update its mirror
}

// Write stores value at key if the record's revision is still that of base. A base
// of revision 0 creates the record.
//
// Invariant: an error with verdict NotRun means that the value is not in the store
// and never will be. After a lost answer the writer either finds its token, or
// repeats the same compare-and-swap while the record is at the expected revision,
// or finds a newer record that still lists the newest token of base but not its own.
// In the last case a write still in flight fails its compare-and-swap.
func Write[T any](ctx context.Context, w *Writer, key string, base fleet.Versioned[T], value *T, lease port.LeaseID) (Written, error) {
	token := w.newToken()
	tokens := append(slices.Clone(base.Tokens), token)
	if len(tokens) > maxTokens {
		tokens = tokens[len(tokens)-maxTokens:]
	}
	body, err := encode(value, tokens)
	if err != nil {
		return Written{}, verdict.Wrap(err, verdict.NotRun, CodeConflict, "encode %s", key)
	}
	p := pendingWrite{key: key, expect: base.Revision, body: body, token: token, lease: lease, baseToken: newestToken(base.Tokens)}
	return w.swap(ctx, p)
}

func newestToken(tokens []string) string {
	if len(tokens) == 0 {
		return ""
	}
	return tokens[len(tokens)-1]
}

// pendingWrite is a write that is in flight or whose outcome is unknown.
type pendingWrite struct {
	key       string
	expect    fleet.Revision
	body      []byte
	token     string
	lease     port.LeaseID
	baseToken string // newest token of the base record, "" if it is new
}

// swap repeats the compare-and-swap of p until its outcome is known or ctx ends.
func (w *Writer) swap(ctx context.Context, p pendingWrite) (Written, error) {
	uncertain := false
	for {
		rev, ok, err := w.store.CompareAndSwap(ctx, p.key, p.expect, p.body, p.lease)
		switch {
		case err == nil && ok:
			return Written{port.KV{Key: p.key, Value: p.body, Revision: rev}}, nil
		case err == nil && !uncertain:
			return Written{}, verdict.New(verdict.NotRun, CodeConflict, "%s changed since revision %d", p.key, p.expect)
		case err != nil && verdict.Of(err) == verdict.NotRun && !uncertain:
			return Written{}, err
		}
		uncertain = true
		out, resolved, err := w.readBack(ctx, p)
		if resolved {
			return out, err
		}
		if !sleep.For(ctx, w.resolveInterval) {
			return Written{}, verdict.New(verdict.MayHaveRun, CodeUnknownOutcome, "write of %s: the answer was lost and the store could not be read in time", p.key)
		}
	}
}

// readBack reads the record to find out whether p took effect. resolved is false if
// this is not known yet: the record is at the expected revision or still doesn't exist,
// or the store doesn't answer.
func (w *Writer) readBack(ctx context.Context, p pendingWrite) (out Written, resolved bool, err error) {
	kv, found, err := w.store.Get(ctx, p.key)
	if err != nil {
		return Written{}, false, nil
	}
	if !found {
		if p.expect == 0 {
			return Written{}, false, nil
		}
		return Written{}, true, verdict.New(verdict.MayHaveRun, CodeUnknownOutcome, "write of %s: the answer was lost and the record has been deleted since", p.key)
	}
	if kv.Revision == p.expect {
		return Written{}, false, nil
	}
	var env envelope
	if err := json.Unmarshal(kv.Value, &env); err != nil {
		return Written{}, true, verdict.Wrap(err, verdict.MayHaveRun, CodeUnknownOutcome, "decode %s after a lost answer", p.key)
	}
	if slices.Contains(env.Tokens, p.token) {
		return Written{kv}, true, nil
	}
	listsAllSinceBase := slices.Contains(env.Tokens, p.baseToken) || (p.expect == 0 && len(env.Tokens) < maxTokens)
	if listsAllSinceBase {
		return Written{}, true, verdict.New(verdict.NotRun, CodeConflict, "%s changed since revision %d", p.key, p.expect)
	}
	return Written{}, true, verdict.New(verdict.MayHaveRun, CodeUnknownOutcome, "write of %s: the answer was lost and the last %d write tokens of the record do not include that of revision %d", p.key, maxTokens, p.expect)
}
