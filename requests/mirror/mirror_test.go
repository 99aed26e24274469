package mirror

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

func poolEvent(name string, rev fleet.Revision, maxUnavailable int) port.Event {
	data, _ := json.Marshal(fleet.Pool{Name: fleet.PoolName(name), Budget: fleet.AvailabilityBudget{MaxUnavailable: maxUnavailable}})
	body, _ := json.Marshal(map[string]any{"tokens": []string{"t"}, "data": json.RawMessage(data)})
	return port.Event{KV: port.KV{Key: record.PoolKey(fleet.PoolName(name)), Value: body, Revision: rev}}
}

func deletionEvent(name string, rev fleet.Revision) port.Event {
	return port.Event{KV: port.KV{Key: record.PoolKey(fleet.PoolName(name)), Revision: rev}, Deleted: true}
}

func maxUnavailable(m *Mirror) int { return m.State().Pools["p"].Value.Budget.MaxUnavailable }

func TestRevisionsNeverGoBack(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	m.Apply([]port.Event{poolEvent("p", 4, 1)}, 4)
	assert.Equal(t, 2, maxUnavailable(m), "an older record from a peer")
	m.Replace(port.Listing{KVs: []port.KV{poolEvent("p", 3, 1).KV}, Revision: 3})
	assert.Equal(t, 2, maxUnavailable(m), "a stale listing")
	assert.EqualValues(t, 5, m.State().Revision)
	m.Apply([]port.Event{deletionEvent("p", 4)}, 4)
	assert.Equal(t, 2, maxUnavailable(m), "an older deletion")
}

func TestOlderEventDoesNotUndoADeletion(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	m.Apply([]port.Event{deletionEvent("p", 6)}, 6)
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	assert.Empty(t, m.State().Pools)
}

func TestListingDeletesMissingKeys(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2), poolEvent("q", 9, 1)}, 9)
	m.Replace(port.Listing{Revision: 7})
	assert.NotContains(t, m.State().Pools, fleet.PoolName("p"))
	assert.Contains(t, m.State().Pools, fleet.PoolName("q"), "newer than the listing")
}

func TestOwnWriteDoesNotMakeTheMirrorComplete(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	m.Apply([]port.Event{poolEvent("p", 8, 3)}, 0)
	assert.Equal(t, 3, maxUnavailable(m))
	assert.EqualValues(t, 5, m.State().Revision)
}

func TestSnapshotsDoNotChange(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	before := m.State()
	m.Apply([]port.Event{poolEvent("p", 6, 3)}, 6)
	assert.Equal(t, 2, before.Pools["p"].Value.Budget.MaxUnavailable)
}

func TestChangesSinceBringsAPeerUpToDate(t *testing.T) {
	a, b := New(), New()
	a.Apply([]port.Event{poolEvent("p", 5, 2), poolEvent("q", 6, 1)}, 6)
	a.Apply([]port.Event{deletionEvent("q", 7)}, 7)
	events, completeTo := a.ChangesSince(0)
	b.Apply(events, completeTo)
	assert.Equal(t, a.State().Pools, b.State().Pools)
	events, _ = a.ChangesSince(5)
	require.Len(t, events, 1)
	assert.True(t, events[0].Deleted)
}

func TestUndecodableRecordKeepsTheLastGoodOne(t *testing.T) {
	m := New()
	m.Apply([]port.Event{poolEvent("p", 5, 2)}, 5)
	bad := poolEvent("p", 6, 3)
	bad.Value = []byte("{")
	m.Apply([]port.Event{bad}, 6)
	assert.Equal(t, 2, maxUnavailable(m))
	assert.EqualValues(t, 1, m.BadRecords.Load())
}

func FuzzApply(f *testing.F) {
	f.Add(record.PoolKey("p"), []byte(`{"tokens":[],"data":{}}`))
	f.Add(record.ShardKey(3), []byte(`{"data":{"Members":[{}]}}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		New().Apply([]port.Event{{KV: port.KV{Key: key, Value: value, Revision: 1}}}, 1)
	})
}
