package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.UnixMilli(1_800_000_000_000)

// keyAt returns a key made at time at, in a partition that owner owns under v.
func keyAt(at time.Time, v *fleet.View, owner fleet.Incarnation) Key {
	for i := 0; ; i++ {
		var id uuid.UUID
		ms := at.UnixMilli()
		for b := range 6 {
			id[b] = byte(ms >> (8 * (5 - b)))
		}
		id[6], id[8] = 0x70, 0x80
		id[14], id[15] = byte(i>>8), byte(i)
		if k := Key(id.String()); Owner(v, k.Partition()) == owner {
			return k
		}
	}
}

func view(epoch fleet.Epoch, unretired []fleet.Incarnation, ids ...fleet.Incarnation) *fleet.View {
	v := &fleet.View{Epoch: epoch}
	for _, id := range ids {
		v.Members = append(v.Members, fleet.Entry{Incarnation: id})
	}
	if unretired != nil {
		v.Unretired = []fleet.RetiringView{{Epoch: epoch - 1, Members: unretired}}
	}
	return v
}

var confirmedAndRetired = ViewStatus{Confirmed: true, Retired: true}

func ask(v *fleet.View, k Key, attempt AttemptID) Request {
	return Request{Epoch: v.Epoch, Key: k, Fingerprint: Fingerprint{1}, Attempt: attempt, Claimer: "a"}
}

func TestKeyTime(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	k, ok := ParseKey(id.String())
	require.True(t, ok)
	assert.WithinDuration(t, time.Now(), k.Time(), time.Minute)
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + id.String() + "}"} {
		_, ok := ParseKey(bad)
		assert.False(t, ok, bad)
	}
}

func TestClaimsOfSameKey(t *testing.T) {
	v := view(1, nil, "a")
	table := NewTable("a", DefaultOptions)
	table.SetView(t0, v)
	k := keyAt(t0, v, "a")
	require.Equal(t, Granted, table.Claim(t0, confirmedAndRetired, ask(v, k, "1")).Result)
	assert.Equal(t, Granted, table.Claim(t0, confirmedAndRetired, ask(v, k, "1")).Result, "repeated message")
	assert.Equal(t, InProgress, table.Claim(t0, confirmedAndRetired, ask(v, k, "2")).Result)
	other := ask(v, k, "3")
	other.Fingerprint = Fingerprint{2}
	assert.Equal(t, Mismatch, table.Claim(t0, confirmedAndRetired, other).Result)
	answer := &Answer{Status: 200, Body: []byte("x")}
	table.RecordAttempt(Claim{Key: k, Attempt: "1", Status: Finished, Answer: answer})
	assert.Equal(t, Reply{Result: Answered, Answer: answer}, table.Claim(t0, confirmedAndRetired, ask(v, k, "4")))
}

func TestRefusesWhenViewIsNotServedOrEpochDiffers(t *testing.T) {
	v := view(1, nil, "a")
	table := NewTable("a", DefaultOptions)
	table.SetView(t0, v)
	k := keyAt(t0, v, "a")
	assert.Equal(t, NotOwner, table.Claim(t0, ViewStatus{}, ask(v, k, "1")).Result)
	old := ask(v, k, "1")
	old.Epoch = 0
	assert.Equal(t, NotOwner, table.Claim(t0, confirmedAndRetired, old).Result)
}

func TestKeysWithTimestampOutOfRange(t *testing.T) {
	v := view(1, nil, "a")
	table := NewTable("a", DefaultOptions)
	table.SetView(t0, v)
	assert.Equal(t, Expired, table.Claim(t0, confirmedAndRetired, ask(v, keyAt(t0.Add(-11*time.Minute), v, "a"), "1")).Result)
	assert.Equal(t, FromFuture, table.Claim(t0, confirmedAndRetired, ask(v, keyAt(t0.Add(time.Second), v, "a"), "1")).Result)
}

// TestOwnerLost checks that a new owner never grants a key that the lost owner may
// have granted.
func TestOwnerLost(t *testing.T) {
	v1, v2 := view(1, nil, "a", "b"), view(2, []fleet.Incarnation{"a", "b"}, "b")
	k := keyAt(t0, v1, "a")
	table := NewTable("b", DefaultOptions)
	table.SetView(t0, v1)
	table.SetView(t0, v2)
	now := t0.Add(DefaultOptions.HandoverWait / 2)
	assert.Equal(t, NotReady, table.Claim(now, confirmedAndRetired, ask(v2, k, "2")).Result, "the previous owner's table may still arrive")
	now = now.Add(DefaultOptions.HandoverWait)
	assert.Equal(t, MayHaveRun, table.Claim(now, confirmedAndRetired, ask(v2, k, "2")).Result)
	fresh := keyAt(t0.Add(5*time.Second), v1, "a")
	assert.Equal(t, Granted, table.Claim(t0.Add(5*time.Second), confirmedAndRetired, ask(v2, fresh, "3")).Result)
}

func TestHandOver(t *testing.T) {
	v1, v2 := view(1, nil, "a", "b"), view(2, []fleet.Incarnation{"a", "b"}, "b")
	k := keyAt(t0, v1, "a")
	oldOwner, newOwner := NewTable("a", DefaultOptions), NewTable("b", DefaultOptions)
	oldOwner.SetView(t0, v1)
	newOwner.SetView(t0, v1)
	require.Equal(t, Granted, oldOwner.Claim(t0, confirmedAndRetired, ask(v1, k, "1")).Result)
	oldOwner.RecordAttempt(Claim{Key: k, Attempt: "1", Status: Finished, Answer: &Answer{Status: 201}})
	newOwner.SetView(t0, v2)
	for _, tr := range oldOwner.SetView(t0, v2) {
		assert.True(t, newOwner.Receive(tr))
	}
	assert.Equal(t, NotOwner, oldOwner.Claim(t0, confirmedAndRetired, ask(v2, k, "2")).Result)
	assert.Equal(t, Answered, newOwner.Claim(t0, confirmedAndRetired, ask(v2, k, "2")).Result)
	assert.Equal(t, Granted, newOwner.Claim(t0, confirmedAndRetired, ask(v2, keyAt(t0.Add(time.Millisecond), v1, "a"), "3")).Result, "a complete table grants keys older than the handover")
}

// TestAbandonedAttemptDoesNotAllowOthers: a new owner without the previous owner's
// table learns of an abandoned attempt. The previous owner may have granted
// another attempt before, so the key must still be refused.
func TestAbandonedAttemptDoesNotAllowOthers(t *testing.T) {
	v1, v2 := view(1, nil, "a", "b"), view(2, []fleet.Incarnation{"a", "b"}, "b")
	k := keyAt(t0, v1, "a")
	table := NewTable("b", DefaultOptions)
	table.SetView(t0, v1)
	table.SetView(t0, v2)
	table.StartServing(t0)
	now := t0.Add(2 * time.Second)
	require.True(t, table.RecordAttempt(Claim{Key: k, Attempt: "2", Status: Abandoned}))
	assert.Equal(t, MayHaveRun, table.Claim(now, confirmedAndRetired, ask(v2, k, "3")).Result)
}

// TestTransferReplacesAbandonedAttempt: a new owner learns of an abandoned attempt
// and then receives the previous owner's table, in which another attempt is
// running.
func TestTransferReplacesAbandonedAttempt(t *testing.T) {
	v1, v2 := view(1, nil, "a", "b"), view(2, []fleet.Incarnation{"a", "b"}, "b")
	k := keyAt(t0, v1, "a")
	oldOwner, newOwner := NewTable("a", DefaultOptions), NewTable("b", DefaultOptions)
	oldOwner.SetView(t0, v1)
	newOwner.SetView(t0, v1)
	require.Equal(t, Granted, oldOwner.Claim(t0, confirmedAndRetired, ask(v1, k, "1")).Result)
	newOwner.SetView(t0, v2)
	require.True(t, newOwner.RecordAttempt(Claim{Key: k, Attempt: "2", Status: Abandoned}))
	for _, tr := range oldOwner.SetView(t0, v2) {
		require.True(t, newOwner.Receive(tr))
	}
	assert.NotEqual(t, Granted, newOwner.Claim(t0, confirmedAndRetired, ask(v2, k, "3")).Result)
}

func TestAbandonArrivesBeforeItsClaim(t *testing.T) {
	v := view(1, nil, "a")
	table := NewTable("a", DefaultOptions)
	table.SetView(t0, v)
	k := keyAt(t0, v, "a")
	table.RecordAttempt(Claim{Key: k, Attempt: "1", Status: Abandoned})
	assert.Equal(t, NotOwner, table.Claim(t0, confirmedAndRetired, ask(v, k, "1")).Result)
	assert.Equal(t, Granted, table.Claim(t0, confirmedAndRetired, ask(v, k, "2")).Result)
}

// TestMissedViews: a daemon that missed a view under which another daemon owned
// the partition doesn't treat its own table as complete.
func TestMissedViews(t *testing.T) {
	v1, v2 := view(1, nil, "a", "b"), view(2, nil, "b")
	v3 := view(3, []fleet.Incarnation{"b"}, "a", "b")
	k := keyAt(t0, v1, "a")
	absent := NewTable("a", DefaultOptions)
	absent.SetView(t0, v1)
	other := NewTable("b", DefaultOptions)
	other.SetView(t0, v1)
	other.SetView(t0, v2)
	other.StartServing(t0)
	later := t0.Add(5 * time.Second)
	k2 := keyAt(later, v1, "a")
	require.Equal(t, Granted, other.Claim(later, confirmedAndRetired, ask(v2, k2, "1")).Result)
	other.Tick(later)
	absent.SetView(later, v3)
	assert.Equal(t, NotReady, absent.Claim(later, confirmedAndRetired, ask(v3, k2, "2")).Result)
	for _, tr := range other.SetView(later, v3) {
		absent.Receive(tr)
	}
	assert.Equal(t, InProgress, absent.Claim(later, confirmedAndRetired, ask(v3, k2, "2")).Result)
	assert.Equal(t, MayHaveRun, absent.Claim(later, confirmedAndRetired, ask(v3, k, "3")).Result, "b never received a's first table")
}

func TestBounds(t *testing.T) {
	v := view(1, nil, "a")
	o := DefaultOptions
	o.MaxClaims, o.MaxAnswerBytes = 10, 100
	table := NewTable("a", o)
	table.SetView(t0, v)
	var keys []Key
	for i := range 30 {
		k := keyAt(t0.Add(time.Duration(i)*time.Millisecond), v, "a")
		keys = append(keys, k)
		table.Claim(t0.Add(time.Second), confirmedAndRetired, ask(v, k, "1"))
		table.RecordAttempt(Claim{Key: k, Attempt: "1", Status: Finished, Answer: &Answer{Body: make([]byte, 40)}})
	}
	claims, bytes := table.Size()
	assert.LessOrEqual(t, claims, 10)
	assert.LessOrEqual(t, bytes, 100)
	assert.Equal(t, MayHaveRun, table.Claim(t0.Add(time.Second), confirmedAndRetired, ask(v, keys[0], "2")).Result, "a dropped key is not granted again")
}
