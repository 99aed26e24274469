package control

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

func event(key string, rev fleet.Revision, value any) port.Event {
	data, _ := json.Marshal(value)
	body, _ := json.Marshal(map[string]any{"tokens": []string{"t"}, "data": json.RawMessage(data)})
	return port.Event{KV: port.KV{Key: key, Value: body, Revision: rev}}
}

// TestHistoryWaitsForNewerInstanceList guards against a false budget violation in
// the history: a record shows one instance back in service and another taken out,
// while an older instance list still shows the first as out of service.
func TestHistoryWaitsForNewerInstanceList(t *testing.T) {
	m := mirror.New()
	opts := DefaultOptions
	opts.Self = "not responsible for the pool"
	c := New(opts, Deps{
		Mirror: m, StoreConnected: func() bool { return false }, LiveMembers: func() []fleet.Incarnation { return nil },
		OnSnapshot: func(*Snapshot) {}, Log: zap.NewNop(),
	})
	members := fleet.MemberShard{Members: []fleet.Membership{{Instance: "a", Pool: "p"}, {Instance: "b", Pool: "p"}}}
	pool := fleet.Pool{Name: "p", Budget: fleet.AvailabilityBudget{MaxUnavailable: 1}, Disruptions: []fleet.Disruption{{Instance: "b"}}}
	m.Apply([]port.Event{event(record.ShardKey(0), 1, members), event(record.PoolKey("p"), 2, pool)}, 2)
	setList := func(requestedAt time.Time, stateOfA fleet.InstanceState) {
		c.instances = map[fleet.InstanceID]fleet.Instance{"a": {ID: "a", State: stateOfA}, "b": {ID: "b", State: fleet.InstanceReady}}
		c.listedAt = requestedAt
		c.listVersion++
	}
	setList(t0, fleet.InstanceDrained)
	c.reconcile(context.Background(), t0.Add(time.Second))
	assert.Empty(t, c.History.SamplesBetween("p", t0, t0.Add(time.Hour)))
	setList(t0.Add(2*time.Second), fleet.InstanceReady)
	c.reconcile(context.Background(), t0.Add(3*time.Second))
	got := c.History.SamplesBetween("p", t0, t0.Add(time.Hour))
	if assert.Len(t, got, 1) {
		assert.Equal(t, 1, got[0].Out)
	}
}
