package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
)

func TestMatch(t *testing.T) {
	table := NewTable([]fleet.Route{
		{Host: "desk", Prefix: "/", Class: "all"}, {Host: "Desk", Prefix: "/orders", Class: "orders"}, {Prefix: "/health", Class: "any"},
	})
	for _, tc := range []struct {
		host, path string
		want       fleet.ClassName
	}{
		{"desk", "/orders", "orders"}, {"DESK:8080", "/orders/1", "orders"}, {"desk", "/ordersx", "all"},
		{"other", "/health", "any"}, {"other", "/orders", ""},
	} {
		r, ok := table.Match(tc.host, tc.path)
		assert.Equal(t, tc.want != "", ok, "%+v", tc)
		assert.Equal(t, tc.want, r.Class, "%+v", tc)
	}
}

func TestPick(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	local := Candidate{Worker: "here", Zone: "a", Free: 2, Capacity: 8}
	remote := Candidate{Worker: "there", Zone: "b", Free: 8, Capacity: 8}
	slow := Candidate{Worker: "slow", Zone: "a", Free: 8, Capacity: 8, Latency: 500 * time.Millisecond}
	probe := Candidate{Worker: "probe", Zone: "b", Free: 1, Capacity: 8, Probe: true}
	for _, tc := range []struct {
		name       string
		candidates []Candidate
		want       fleet.InstanceID
	}{
		{"local zone preferred", []Candidate{local, remote}, "here"},
		{"local zone nearly full", []Candidate{{Worker: "here", Zone: "a", Free: 1, Capacity: 8}, remote}, "there"},
		{"slow worker avoided although idle", []Candidate{local, slow}, "here"},
		{"slow worker avoided although the only local one", []Candidate{slow, remote}, "there"},
		{"due probe first", []Candidate{local, probe}, "probe"},
	} {
		got, ok := Pick(tc.candidates, "a", rnd, PolicyLeastLoaded)
		assert.True(t, ok)
		assert.Equal(t, tc.want, got, tc.name)
	}
	_, ok := Pick(nil, "a", rnd, PolicyRandom)
	assert.False(t, ok)
}
