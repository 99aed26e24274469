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
	c := New("a", DefaultOptions)
	require.True(t, c.Adopt(t0, view(1, nil, "a", "b", "c", "d", "e")))
	assert.False(t, c.ServingStatus(t0).Serving(t0))
	c.RecordConfirmation(t0, t0, "b", 1, 1)
	assert.Equal(t, ReasonNoQuorum, c.ServingStatus(t0).Reason)
	c.RecordConfirmation(t0, t0, "c", 1, 1)
	assert.True(t, c.ServingStatus(t0).Serving(t0))
	later := t0.Add(DefaultOptions.ConfirmWindow)
	assert.False(t, c.ServingStatus(t0).Serving(later), "a status that is not renewed expires")
	assert.False(t, c.ServingStatus(later).Serving(later))
}

func TestConfirmationIsValidFromWhenTheHeartbeatWasSent(t *testing.T) {
	c := New("a", DefaultOptions)
	c.Adopt(t0, view(1, nil, "a", "b", "c"))
	answered := t0.Add(DefaultOptions.ConfirmWindow)
	c.RecordConfirmation(answered, t0, "b", 1, 1)
	assert.False(t, c.ServingStatus(answered).Serving(answered))
}

func TestStopsServingOnHearingOfANewerEpoch(t *testing.T) {
	c := New("a", DefaultOptions)
	c.Adopt(t0, view(1, nil, "a", "b", "c"))
	c.RecordConfirmation(t0, t0, "b", 1, 1)
	c.RecordEpoch(t0, "c", 2)
	s := c.ServingStatus(t0)
	assert.False(t, s.Serving(t0))
	assert.True(t, s.MayUseSlots(t0), "slots may be used until the confirmations expire")
}

func TestEqualHalfServesOnlyWithTheFirstMember(t *testing.T) {
	for _, tc := range []struct {
		self string
		with fleet.Incarnation
		want bool
	}{{"a", "b", true}, {"c", "d", false}} {
		c := New(fleet.Incarnation(tc.self), DefaultOptions)
		c.Adopt(t0, view(1, nil, "a", "b", "c", "d"))
		c.RecordConfirmation(t0, t0, tc.with, 1, 1)
		assert.Equal(t, tc.want, c.ServingStatus(t0).Serving(t0))
	}
}

func TestWaitsForTheEarlierViewToStop(t *testing.T) {
	c := New("a", DefaultOptions)
	c.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "a", "b"))
	c.RecordConfirmation(t0, t0, "b", 2, 2)
	assert.Equal(t, ReasonEarlierView, c.ServingStatus(t0).Reason, "c may still serve epoch 1")
	wait := t0.Add(DefaultOptions.ConfirmWindow + DefaultOptions.DriftMargin)
	c.RecordConfirmation(wait, wait, "b", 2, 2)
	assert.True(t, c.ServingStatus(wait).Serving(wait))
}

func TestServesAtOnceWhenWholeEarlierViewKnowsTheNewOne(t *testing.T) {
	c := New("a", DefaultOptions)
	c.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "a", "b"))
	c.RecordConfirmation(t0, t0, "b", 2, 2)
	c.RecordEpoch(t0, "c", 2)
	assert.True(t, c.ServingStatus(t0).Serving(t0))
}

func TestServesOnceAllEarlierMembersHaveEnded(t *testing.T) {
	c := New("x", DefaultOptions)
	c.Adopt(t0, view(2, []fleet.RetiringView{retiring(1, "a", "b", "c")}, "x", "y"))
	c.RecordConfirmation(t0, t0, "y", 2, 2)
	assert.False(t, c.ServingStatus(t0).Serving(t0))
	for _, m := range []fleet.Incarnation{"a", "b", "c"} {
		c.MarkEnded(t0, m)
	}
	assert.True(t, c.ServingStatus(t0).Serving(t0))
}

func TestProposeKeepsAnsweringMembersWithExpiredLease(t *testing.T) {
	cur := view(3, nil, "a", "b", "c")
	ev := Observations{
		Registered:   entries("a"),
		MissingSince: map[fleet.Incarnation]time.Time{"b": t0, "c": t0},
		HeardAt:      map[fleet.Incarnation]time.Time{"b": t0.Add(9 * time.Second)},
	}
	next, ok := Propose(t0.Add(10*time.Second), cur, ev, 3*time.Second, true)
	require.True(t, ok)
	assert.Equal(t, []fleet.Incarnation{"a", "b"}, next.Incarnations())
	assert.Equal(t, []fleet.RetiringView{retiring(3, "a", "b", "c")}, next.Unretired)
}

func TestProposeListsDepartedMembers(t *testing.T) {
	cur := view(3, []fleet.RetiringView{retiring(2, "a")}, "a", "b")
	ev := Observations{Registered: entries("a", "b"), Stopping: map[fleet.Incarnation]bool{"b": true}}
	next, ok := Propose(t0, cur, ev, time.Second, false)
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
