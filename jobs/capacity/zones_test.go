package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// zoned returns n movable instances per zone, idle for d, in the order of the zones.
func zoned(name string, n int, d time.Duration, zones ...string) []Instance {
	var out []Instance
	for _, z := range zones {
		for i := range n {
			out = append(out, Instance{ID: fmt.Sprintf("%s-%s%d", name, z, i), Zone: z, Movable: true, IdleFor: d})
		}
	}
	return out
}

// zonesOf counts the planned moves by the zone of their instance, which follows the first dash.
func zonesOf(moves []Move) map[string]int {
	out := map[string]int{}
	for _, m := range moves {
		out[m.Instance[len(m.From)+1:len(m.From)+2]]++
	}
	return out
}

// TestSpareInstancesAreSpreadOverZones: the spare pool lists instances by zone, so the first ones
// would all be in one zone. With zones counted, a pool that stands in zone a alone gets instances
// of the other zones first.
func TestSpareInstancesAreSpreadOverZones(t *testing.T) {
	plan := func(byZone map[string]int) map[string]int {
		to := Pool{Name: "p", CoresPerInstance: 10, BusyInstances: 3, BusyCores: 30, WaitingCores: 20, ByZone: byZone}
		spare := Pool{Name: "spare", Instances: zoned("spare", 8, 0, "a", "b", "c")}
		return zonesOf(Plan(Demand, DefaultWeights, []Pool{to}, spare, 0))
	}
	assert.Equal(t, map[string]int{"a": 4}, plan(nil), "zones do not matter without counts")
	assert.Equal(t, map[string]int{"b": 2, "c": 2}, plan(map[string]int{"a": 3}))
	assert.Equal(t, map[string]int{"a": 1, "b": 1, "c": 2}, plan(map[string]int{"a": 1, "b": 1, "c": 0}))
}

// TestFullestZoneGivesInstancesBack: of the instances that are idle for long enough, those of the
// zone with the most instances of the pool are returned first.
func TestFullestZoneGivesInstancesBack(t *testing.T) {
	from := Pool{Name: "p", CoresPerInstance: 10, Instances: zoned("p", 4, time.Minute, "a", "b"), ByZone: map[string]int{"a": 4, "b": 7}}
	moves := Plan(Demand, DefaultWeights, []Pool{from}, Pool{Name: "spare"}, 2)
	assert.Equal(t, map[string]int{"b": 2}, zonesOf(moves))
	assert.Equal(t, 5, from.ByZone["b"])
}

// TestSpreadChangesNoNumberOfMoves: counting zones changes which instances move, not how many.
func TestSpreadChangesNoNumberOfMoves(t *testing.T) {
	for waiting := range 30 {
		plan := func(byZone map[string]int) int {
			to := Pool{Name: "p", CoresPerInstance: 10, BusyInstances: 3, BusyCores: 30, WaitingCores: float64(5 * waiting), ByZone: byZone}
			donor := Pool{Name: "d", CoresPerInstance: 10, Instances: zoned("d", 4, time.Minute, "a", "b")}
			if byZone != nil {
				donor.ByZone = map[string]int{"a": 4, "b": 4}
			}
			return len(Plan(Demand, DefaultWeights, []Pool{to, donor}, Pool{Name: "spare", Instances: zoned("spare", 2, 0, "a", "b", "c")}, 3))
		}
		assert.Equal(t, plan(nil), plan(map[string]int{"a": 3}), "%d cores wait", 5*waiting)
	}
}

func TestLargestZoneShare(t *testing.T) {
	p := Pool{}
	assert.Zero(t, p.LargestZoneShare())
	p.ByZone = map[string]int{"a": 1, "b": 3, "c": 0}
	assert.InDelta(t, 0.75, p.LargestZoneShare(), 1e-9)
}
