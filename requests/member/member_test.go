package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entries(ids ...string) []fleet.Entry {
	var out []fleet.Entry
	for _, id := range ids {
		out = append(out, fleet.Entry{ID: fleet.EntryID("id-" + id), Incarnation: fleet.Incarnation(id)})
	}
	return out
}

func view(epoch fleet.Epoch, unretired []fleet.RetiringView, ids ...string) *fleet.View {
	return &fleet.View{Epoch: epoch, Members: entries(ids...), Unretired: unretired}
}

func retiring(epoch fleet.Epoch, ids ...fleet.Incarnation) fleet.RetiringView {
	return fleet.RetiringView{Epoch: epoch, Members: ids}
}

func TestServesOnlyWithAQuorumOfRecentConfirmations(t *testing.T) {
	tracker := New("a", DefaultOptions)
	require.True(t, tracker.Adopt(t0, view(1, nil, "a", "b", "c", "d", "e")))
	assert.False(t, tracker.ServingStatus(t0).Serving(t0))
	tracker.RecordConfirmation(t0, t0, "b", 1, 1)
	assert.Equal(t, ReasonNoQuorum, tracker.ServingStatus(t0).Reason)
	tracker.RecordConfirmation(t0, t0, "c", 1, 1)
	assert.True(t, tracker.ServingStatus(t0).Serving(t0))
	later := t0.Add(DefaultOptions.ConfirmWindow)
	assert.False(t, tracker.ServingStatus(t0).Serving(later), "a status that is not renewed expires")
	assert.False(t, tracker.ServingStatus(later).Serving(later))
}

func TestConfirmationIsValidFromWhenTheHeartbeatWasSent(t *testing.T) {
	tracker := New("a", DefaultOptions)
	tracker.Adopt(t0, view(1, nil, "a", "b", "c"))
	answered := t0.Add(DefaultOptions.ConfirmWindow)
	tracker.RecordConfirmation(answered, t0, "b", 1, 1)
	assert.False(t, tracker.ServingStatus(answered).Serving(answered))
}

func TestStopsServingOnHearingOfANewerEpoch(t *testing.T) {
	tracker := New("a", DefaultOptions)
	tracker.Adopt(t0, view(1, nil, "a", "b", "c"))
	tracker.RecordConfirmation(t0, t0, "b", 1, 1)
	tracker.RecordEpoch(t0, "c", 2)
	s := tracker.ServingStatus(t0)
	assert.False(t, s.Serving(t0))
	assert.True(t, s.MayUseSlots(t0), "slots may be used until the confirmations expire")
}

func TestEqualHalfServesOnlyWithTheFirstMember(t *testing.T) {
	for _, tc := range []struct {
		self string
		with fleet.Incarnation
		want bool
	}{{"a", "b", true}, {"c", "d", false}} {
		tracker := New(fleet.Incarnation(tc.self), DefaultOptions)
		tracker.Adopt(t0, view(1, nil, "a", "b", "c", "d"))
		tracker.RecordConfirmation(t0, t0, tc.with, 1, 1)
		assert.Equal(t, tc.want, tracker.ServingStatus(t0).Serving(t0))
	}
}

func TestWaitsForTheEarlierViewToStop(t *testing.T) {
	tracker := New("a", DefaultOptions)
	tracker.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "a", "b"))
	tracker.RecordConfirmation(t0, t0, "b", 2, 2)
	assert.Equal(t, ReasonEarlierView, tracker.ServingStatus(t0).Reason, "c may still serve epoch 1")
	wait := t0.Add(DefaultOptions.ConfirmWindow + DefaultOptions.DriftMargin)
	tracker.RecordConfirmation(wait, wait, "b", 2, 2)
	assert.True(t, tracker.ServingStatus(wait).Serving(wait))
}

func TestServesAtOnceWhenWholeEarlierViewKnowsTheNewOne(t *testing.T) {
	tracker := New("a", DefaultOptions)
	tracker.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "a", "b"))
	tracker.RecordConfirmation(t0, t0, "b", 2, 2)
	tracker.RecordEpoch(t0, "c", 2)
	assert.True(t, tracker.ServingStatus(t0).Serving(t0))
}

func TestServesOnceAllEarlierMembersHaveEnded(t *testing.T) {
	tracker := New("x", DefaultOptions)
	tracker.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "x", "y"))
	tracker.RecordConfirmation(t0, t0, "y", 2, 2)
	assert.False(t, tracker.ServingStatus(t0).Serving(t0))
	for _, m := range []fleet.Incarnation{"a", "b", "c"} {
		tracker.MarkEnded(t0, m)
	}
	assert.True(t, tracker.ServingStatus(t0).Serving(t0))
}

func TestProposeKeepsAnsweringMembersWithExpiredLease(t *testing.T) {
	cur := view(3, nil, "a", "b", "c")
	obs := Observations{
		Registered:   entries("a"),
		MissingSince: map[fleet.Incarnation]time.Time{"b": t0, "c": t0},
		HeardAt:      map[fleet.Incarnation]time.Time{"b": t0.Add(9 * time.Second)},
	}
	next, ok := Propose(t0.Add(10*time.Second), cur, obs, 3*time.Second, true)
	require.True(t, ok)
	assert.Equal(t, []fleet.Incarnation{"a", "b"}, next.Incarnations())
	assert.Equal(t, []fleet.RetiringView{retiring(3, "a", "b", "c")}, next.Unretired)
}

func TestProposeListsDepartedMembers(t *testing.T) {
	cur := view(3, []fleet.RetiringView{retiring(2, "a")}, "a", "b")
	obs := Observations{Registered: entries("a", "b"), Stopping: map[fleet.Incarnation]bool{"b": true}}
	next, ok := Propose(t0, cur, obs, time.Second, false)
	require.True(t, ok)
	assert.Equal(t, []fleet.Incarnation{"b"}, next.Departed)
	assert.Equal(t, []fleet.RetiringView{retiring(2, "a"), retiring(3, "a", "b")}, next.Unretired, "earlier views that may still be served are kept")
}

func TestProposeReplacesARestartedDaemon(t *testing.T) {
	cur := view(1, nil, "a", "b")
	restarted := fleet.Entry{ID: "id-b", Incarnation: "b2"}
	next, ok := Propose(t0, cur, Observations{Registered: append(entries("a"), restarted)}, time.Second, true)
	require.True(t, ok)
	assert.Equal(t, []fleet.Incarnation{"a", "b2"}, next.Incarnations())
}

func TestProposeLimitsTheNumberOfMembers(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	next, ok := Propose(t0, &fleet.View{}, Observations{Registered: entries(ids...)}, time.Second, true)
	require.True(t, ok)
	assert.Len(t, next.Members, MaxMembers)
}
