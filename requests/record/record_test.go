package record

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// lossyStore is a store with one key. It can lose writes or their answers and let
// another writer write before the outcome is known.
type lossyStore struct {
	port.Store
	kv         port.KV
	loseAnswer bool // the next write takes effect, but its answer is lost
	loseWrite  bool // the next write is lost before it takes effect
	down       bool // reads fail
	// afterLoss is called once, after a write or its answer was lost.
	afterLoss func(*lossyStore)
}

func (s *lossyStore) CompareAndSwap(_ context.Context, key string, expect fleet.Revision, value []byte, _ port.LeaseID) (fleet.Revision, bool, error) {
	answerLost, writeLost := s.loseAnswer, s.loseWrite
	s.loseAnswer, s.loseWrite = false, false
	ok := s.kv.Revision == expect
	if ok && !writeLost {
		s.kv = port.KV{Key: key, Value: value, Revision: expect + 1}
	}
	if afterLoss := s.afterLoss; afterLoss != nil && (answerLost || writeLost) {
		s.afterLoss = nil
		afterLoss(s)
	}
	if answerLost || writeLost {
		return 0, false, verdict.New(verdict.MayHaveRun, port.CodeStoreUnavailable, "lost")
	}
	return s.kv.Revision, ok, nil
}

func (s *lossyStore) Get(context.Context, string) (port.KV, bool, error) {
	if s.down {
		return port.KV{}, false, verdict.New(verdict.NotRun, port.CodeStoreUnavailable, "down")
	}
	return s.kv, s.kv.Revision > 0, nil
}

type testRecord struct{ N int }

// otherWrites returns a function that makes n writes by another writer.
func otherWrites(n int) func(*lossyStore) {
	return func(s *lossyStore) {
		w := NewWriter(s)
		for i := range n {
			base := fleet.Versioned[testRecord]{}
			if s.kv.Revision > 0 {
				base, _ = Decode[testRecord](s.kv)
			}
			_, _ = Write(context.Background(), w, "k", base, &testRecord{100 + i}, 0)
		}
	}
}

func TestWriteResolvesLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		store lossyStore
		want  verdict.Verdict
	}{
		{"answered", lossyStore{}, verdict.Done},
		{"answer lost", lossyStore{loseAnswer: true}, verdict.Done},
		{"write lost", lossyStore{loseWrite: true}, verdict.Done},
		{"answer lost, then overwritten", lossyStore{loseAnswer: true, afterLoss: otherWrites(3)}, verdict.Done},
		{"write lost, another writer first", lossyStore{loseWrite: true, afterLoss: otherWrites(1)}, verdict.NotRun},
		{"write lost, overwritten more often than tokens are kept", lossyStore{loseWrite: true, afterLoss: otherWrites(maxTokens + 2)}, verdict.MayHaveRun},
		{"answer lost, store down", lossyStore{loseAnswer: true, down: true}, verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := tc.store
				w := NewWriter(&s)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := Write(ctx, w, "k", fleet.Versioned[testRecord]{}, &testRecord{1}, 0)
				assert.Equal(t, tc.want, verdict.Of(err), "%v", err)
			})
		})
	}
}

func TestConflictIsNotRun(t *testing.T) {
	s := &lossyStore{}
	w := NewWriter(s)
	_, err := Write(context.Background(), w, "k", fleet.Versioned[testRecord]{}, &testRecord{1}, 0)
	require.NoError(t, err)
	_, err = Write(context.Background(), w, "k", fleet.Versioned[testRecord]{}, &testRecord{2}, 0)
	assert.Equal(t, verdict.NotRun, verdict.Of(err))
	assert.Equal(t, CodeConflict, verdict.CodeOf(err))
	base, err := Decode[testRecord](s.kv)
	require.NoError(t, err)
	assert.Equal(t, 1, base.Value.N)
}

func TestKeys(t *testing.T) {
	for i := range fleet.MemberShardCount {
		n, err := ParseShardKey(ShardKey(i))
		require.NoError(t, err)
		assert.Equal(t, i, n)
	}
	assert.Equal(t, "postmount/pool/a", fmt.Sprint(PoolKey("a")))
}
