package requestfaults

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/wave"
)

// poolRecord is a pool in the model store, with its revision.
type poolRecord struct {
	pool *fleet.Pool
	rev  int
}

// daemonCache holds what one daemon has last read from the store and the platform; it may be stale.
type daemonCache struct {
	pools     map[fleet.PoolName]poolRecord
	members   map[fleet.InstanceID]fleet.Membership
	memberRev map[fleet.InstanceID]int
	instances map[fleet.InstanceID]fleet.Instance
	waves     map[fleet.WaveName]fleet.Wave
}

// pendingCommand is a command in flight to the platform. It may arrive late and more than once.
type pendingCommand struct {
	instance fleet.InstanceID
	command  fleet.Command
}

// model simulates a store, a platform and six daemons. The daemons plan with the real
// wave.Reconcile and apply their plans in any order.
type model struct {
	now       time.Time
	pools     map[fleet.PoolName]poolRecord
	members   map[fleet.InstanceID]fleet.Membership
	memberRev map[fleet.InstanceID]int
	waves     map[fleet.WaveName]fleet.Wave
	actual    map[fleet.InstanceID]fleet.Instance // current state
	// listed is the platform's list of instances, which lags behind actual.
	listed   map[fleet.InstanceID]fleet.Instance
	executed map[fleet.CommandID]bool // command IDs that were carried out
	network  []pendingCommand         // commands in flight
	caches   []*daemonCache           // by daemon
	lastID   int                      // number of the newest command ID
}

const (
	poolSize    = 5 // instances of each pool at the start
	daemonCount = 6
)

func newModel() *model {
	m := &model{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), pools: map[fleet.PoolName]poolRecord{}, members: map[fleet.InstanceID]fleet.Membership{},
		memberRev: map[fleet.InstanceID]int{}, waves: map[fleet.WaveName]fleet.Wave{}, actual: map[fleet.InstanceID]fleet.Instance{}, executed: map[fleet.CommandID]bool{},
	}
	for _, p := range []fleet.PoolName{"a", "b"} {
		m.pools[p] = poolRecord{&fleet.Pool{Name: p, Budget: fleet.AvailabilityBudget{MaxUnavailable: 2}}, 1}
		for i := range poolSize {
			id := fleet.InstanceID(fmt.Sprintf("%s%d", p, i))
			m.members[id] = fleet.Membership{Instance: id, Pool: p}
			m.actual[id] = fleet.Instance{ID: id, State: fleet.InstanceReady, Generation: 1}
		}
	}
	m.listed = maps.Clone(m.actual)
	for range daemonCount {
		c := &daemonCache{}
		m.caches = append(m.caches, c)
		m.refreshRecords(c)
		m.refreshInstances(c)
	}
	return m
}

// refreshRecords copies the store's current records to a daemon's cache. Records are immutable,
// as in package mirror.
func (m *model) refreshRecords(c *daemonCache) {
	c.pools, c.members, c.memberRev, c.waves = maps.Clone(m.pools), maps.Clone(m.members), maps.Clone(m.memberRev), maps.Clone(m.waves)
}

// refreshInstances copies the platform's list of instances to a daemon's cache.
func (m *model) refreshInstances(c *daemonCache) { c.instances = maps.Clone(m.listed) }

func (m *model) daemon(t *rapid.T) *daemonCache {
	return m.caches[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")]
}

func (m *model) pool(t *rapid.T) fleet.PoolName {
	return rapid.SampledFrom([]fleet.PoolName{"a", "b"}).Draw(t, "pool")
}

func (m *model) instance(t *rapid.T) fleet.InstanceID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.actual))).Draw(t, "instance")
}

// membersOf returns the memberships of a pool, sorted by instance.
func (c *daemonCache) membersOf(p fleet.PoolName) (out []fleet.Membership) {
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if c.members[id].Pool == p {
			out = append(out, c.members[id])
		}
	}
	return out
}

// reconcile plans for one pool from what a random daemon knows and applies the plan. Commands are
// sent unconditionally; changes are written only if the records still have the revisions that the
// plan is based on. Lost answers to writes are not modelled, since a daemon reads the records again
// before its next plan.
func (m *model) reconcile(t *rapid.T) {
	c, name := m.daemon(t), m.pool(t)
	base := c.pools[name]
	plan := wave.Reconcile(m.input(c, name))
	for _, s := range plan.Commands {
		m.network = append(m.network, pendingCommand{s.Instance, s.Command})
	}
	for _, ch := range plan.MembershipChanges {
		if m.memberRev[ch.Instance] == c.memberRev[ch.Instance] && m.members[ch.Instance].Pool == ch.From {
			m.members[ch.Instance] = fleet.Membership{Instance: ch.Instance, Pool: ch.To, Joining: ch.Joining}
			m.memberRev[ch.Instance]++
		}
	}
	if plan.Pool == nil || m.pools[name].rev != base.rev {
		return
	}
	m.checkBudget(t, c, base.pool, plan.Pool)
	m.pools[name] = poolRecord{plan.Pool, base.rev + 1}
}

// input returns the input of Reconcile for one pool, as a daemon knows it.
func (m *model) input(c *daemonCache, name fleet.PoolName) wave.Input {
	in := wave.Input{
		Now: m.now, Pool: c.pools[name].pool, Members: c.membersOf(name), Instances: c.instances,
		Membership: func(id fleet.InstanceID) *fleet.Membership { v := c.members[id]; return &v },
		Options:    wave.Options{RebootTimeout: time.Minute},
		NewID:      func() fleet.CommandID { m.lastID++; return fleet.CommandID(fmt.Sprint("c", m.lastID)) },
	}
	for _, w := range slices.Sorted(maps.Keys(c.waves)) {
		v := c.waves[w]
		in.Waves = append(in.Waves, &v)
	}
	return in
}

// checkBudget fails if a write grants a disruption beyond the budget, as computed from what
// the writer knew.
func (m *model) checkBudget(t *rapid.T, c *daemonCache, old, next *fleet.Pool) {
	granted := 0
	for _, d := range next.Disruptions {
		if old.Disruption(d.Instance) == nil {
			granted++
		}
	}
	if granted == 0 {
		return
	}
	a := budget.Compute(next, c.membersOf(next.Name), c.instances)
	if a.OutOfService() > a.Allowed {
		t.Fatalf("granted beyond the budget: %s", a.Explain())
	}
}

func (m *model) readRecords(t *rapid.T) { m.refreshRecords(m.daemon(t)) }
func (m *model) readInstances(t *rapid.T) {
	m.refreshInstances(m.daemon(t))
}

// publishInstance copies one instance's actual state to the platform's list.
func (m *model) publishInstance(t *rapid.T) {
	id := m.instance(t)
	m.listed[id] = m.actual[id]
}

// resultingState maps an action to the state that it puts an instance into.
var resultingState = map[fleet.Action]fleet.InstanceState{
	fleet.ActionDrain: fleet.InstanceDraining, fleet.ActionReboot: fleet.InstanceRebooting, fleet.ActionReturn: fleet.InstanceReady,
}

// deliver carries out a random command in flight, and may leave a duplicate in flight. As on the
// platform, a command has no effect if it was carried out before or its generation is outdated.
func (m *model) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	s := m.network[i]
	if !rapid.Bool().Draw(t, "again later") {
		m.network = slices.Delete(m.network, i, i+1)
	}
	inst := m.actual[s.instance]
	if m.executed[s.command.ID] || inst.Generation != s.command.Generation || inst.State == fleet.InstanceFailed {
		return
	}
	m.executed[s.command.ID] = true
	inst.Generation++
	inst.LastCommand = s.command.ID
	inst.State = resultingState[s.command.Action]
	m.actual[s.instance] = inst
}

// finish completes a drain or reboot of a random instance.
func (m *model) finish(t *rapid.T) {
	id := m.instance(t)
	inst := m.actual[id]
	if inst.State == fleet.InstanceDraining || inst.State == fleet.InstanceRebooting {
		inst.State = fleet.InstanceDrained
		m.actual[id] = inst
	}
}

// failOrRestart lets an instance fail or restart without any command.
func (m *model) failOrRestart(t *rapid.T) {
	id := m.instance(t)
	inst := m.actual[id]
	inst.Generation++
	inst.State = fleet.InstanceFailed
	if rapid.Bool().Draw(t, "restart") {
		inst.State = fleet.InstanceReady
	}
	m.actual[id] = inst
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// requestDisruption applies a random operator command to the newest records: a drain, a move,
// the end of a drain, or a change of the budget.
func (m *model) requestDisruption(t *rapid.T) {
	id := m.instance(t)
	name := m.members[id].Pool
	v := m.pools[name]
	next := v.pool.Clone()
	switch rapid.IntRange(0, 3).Draw(t, "command") {
	case 0:
		next.Requests = append(next.Requests, fleet.Request{Instance: id, Kind: fleet.DisruptByDrain, At: m.now})
	case 1:
		target := map[fleet.PoolName]fleet.PoolName{"a": "b", "b": "a"}[name]
		next.Requests = append(next.Requests, fleet.Request{Instance: id, Kind: fleet.DisruptByMove, Target: target, At: m.now})
	case 2:
		d := next.Disruption(id)
		if d == nil || d.Kind != fleet.DisruptByDrain {
			return
		}
		d.LeaveWanted = true
	case 3:
		next.Budget.MaxUnavailable = rapid.IntRange(0, 3).Draw(t, "budget")
	}
	if v.pool.Request(id) != nil && len(next.Requests) > len(v.pool.Requests) {
		return
	}
	m.pools[name] = poolRecord{next, v.rev + 1}
}

// startWave starts a wave over both pools, at most two in a run.
func (m *model) startWave(*rapid.T) {
	name := fleet.WaveName(fmt.Sprint("w", len(m.waves)))
	if len(m.waves) < 2 {
		m.waves[name] = fleet.Wave{Name: name, Pools: []fleet.PoolName{"a", "b"}, State: fleet.WaveRunning, StartedAt: m.now}
	}
}

// check runs after every step. Each instance that a command took out of service must be claimed
// by exactly one pool.
func (m *model) check(t *rapid.T) {
	for id, inst := range m.actual {
		claims := 0
		for _, v := range m.pools {
			if v.pool.Disruption(id) != nil {
				claims++
			}
		}
		out := inst.State == fleet.InstanceDraining || inst.State == fleet.InstanceDrained || inst.State == fleet.InstanceRebooting
		if out && claims == 0 {
			t.Fatalf("%s is %s and no pool has claimed it", id, inst.State)
		}
		if claims > 1 {
			t.Fatalf("%s is claimed by two pools", id)
		}
	}
}

// TestSixDaemonsNeverExceedABudget interleaves six daemons with stale records and lists, late
// and repeated commands, instance failures and operators' commands.
func TestSixDaemonsNeverExceedABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			// The empty name is the invariant check. Numbered names make an action more likely. rapid
			// draws by index in the order of the names.
			"": m.check, "apply plan": m.reconcile, "apply plan2": m.reconcile, "apply plan3": m.reconcile, "read records": m.readRecords, "read records2": m.readRecords,
			"read instances": m.readInstances, "read instances2": m.readInstances, "show instance": m.publishInstance, "show instance2": m.publishInstance, "deliver": m.deliver, "deliver2": m.deliver,
			"finish": m.finish, "fail": m.failOrRestart, "pass time": m.advanceTime, "operator command": m.requestDisruption, "start wave": m.startWave,
		})
	})
}

// TestDisruptionsCompleteAfterFaults runs a random history and then rounds without faults, of one
// daemon after another: moves complete, and no instance stays out of service except those drained
// by operators.
func TestDisruptionsCompleteAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.startWave(t)
		steps := []func(*rapid.T){m.reconcile, m.reconcile, m.readRecords, m.readInstances, m.publishInstance, m.deliver, m.finish, m.requestDisruption, m.failOrRestart}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
		}
		for name, v := range m.pools {
			next := v.pool.Clone()
			next.Budget = fleet.AvailabilityBudget{MaxUnavailable: 2}
			m.pools[name] = poolRecord{next, v.rev + 1}
		}
		for round := range 120 {
			m.runHealthyRound(m.caches[round%daemonCount], t)
		}
		for name, v := range m.pools {
			for _, d := range v.pool.Disruptions {
				if d.Kind != fleet.DisruptByDrain {
					t.Fatalf("pool %s still has a disruption of %s: %+v, instance %+v", name, d.Instance, d, m.actual[d.Instance])
				}
			}
		}
	})
}

// runHealthyRound runs one round without faults: the platform restarts failed instances,
// completes drains and reboots and lists all of it, and the daemon acts on the current state.
func (m *model) runHealthyRound(c *daemonCache, t *rapid.T) {
	for id, inst := range m.actual {
		switch inst.State {
		case fleet.InstanceFailed:
			inst.State = fleet.InstanceReady
			inst.Generation++
		case fleet.InstanceDraining, fleet.InstanceRebooting:
			inst.State = fleet.InstanceDrained
		}
		m.actual[id] = inst
	}
	m.listed = maps.Clone(m.actual)
	m.refreshRecords(c)
	m.refreshInstances(c)
	for _, name := range []fleet.PoolName{"a", "b"} {
		plan := wave.Reconcile(m.input(c, name))
		for _, s := range plan.Commands {
			m.network = []pendingCommand{{s.Instance, s.Command}}
			m.deliverAll()
		}
		for _, ch := range plan.MembershipChanges {
			m.members[ch.Instance] = fleet.Membership{Instance: ch.Instance, Pool: ch.To, Joining: ch.Joining}
		}
		if plan.Pool != nil {
			m.checkBudget(t, c, c.pools[name].pool, plan.Pool)
			m.pools[name] = poolRecord{plan.Pool, m.pools[name].rev + 1}
		}
	}
}

// deliverAll carries out all commands in flight in order.
func (m *model) deliverAll() {
	for _, s := range m.network {
		inst := m.actual[s.instance]
		if m.executed[s.command.ID] || inst.Generation != s.command.Generation {
			continue
		}
		m.executed[s.command.ID] = true
		inst.Generation++
		inst.LastCommand = s.command.ID
		inst.State = resultingState[s.command.Action]
		m.actual[s.instance] = inst
	}
	m.network = nil
}
