package matrix

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

// versioned is one record of the model store.
type versioned struct {
	pool *fleet.Pool
	rev  int
}

// controller is one daemon's knowledge, which lags.
type controller struct {
	pools     map[fleet.PoolName]versioned
	members   map[fleet.InstanceID]fleet.Membership
	memberRev map[fleet.InstanceID]int
	instances map[fleet.InstanceID]fleet.Instance
	waves     map[fleet.WaveName]fleet.Wave
}

// sent is a command on its way to the platform. It may arrive late and often.
type sent struct {
	instance fleet.InstanceID
	command  fleet.Command
}

// model is a store, a platform and six daemons that plan with the real
// decisions and act on what they planned in any order.
type model struct {
	now       time.Time
	pools     map[fleet.PoolName]versioned
	members   map[fleet.InstanceID]fleet.Membership
	memberRev map[fleet.InstanceID]int
	waves     map[fleet.WaveName]fleet.Wave
	truth     map[fleet.InstanceID]fleet.Instance
	// listed is the platform's list, which lags behind the truth.
	listed   map[fleet.InstanceID]fleet.Instance
	commands map[fleet.CommandID]bool // carried out
	network  []sent
	daemons  []*controller
	ids      int
}

const (
	poolSize    = 5
	controllers = 6
)

func newModel() *model {
	m := &model{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), pools: map[fleet.PoolName]versioned{}, members: map[fleet.InstanceID]fleet.Membership{},
		memberRev: map[fleet.InstanceID]int{}, waves: map[fleet.WaveName]fleet.Wave{}, truth: map[fleet.InstanceID]fleet.Instance{}, commands: map[fleet.CommandID]bool{},
	}
	for _, p := range []fleet.PoolName{"a", "b"} {
		m.pools[p] = versioned{&fleet.Pool{Name: p, Budget: fleet.AvailabilityBudget{MaxUnavailable: 2}}, 1}
		for i := range poolSize {
			id := fleet.InstanceID(fmt.Sprintf("%s%d", p, i))
			m.members[id] = fleet.Membership{Instance: id, Pool: p}
			m.truth[id] = fleet.Instance{ID: id, State: fleet.InstanceReady, Generation: 1}
		}
	}
	m.listed = maps.Clone(m.truth)
	for range controllers {
		c := &controller{}
		m.daemons = append(m.daemons, c)
		m.read(c)
		m.readList(c)
	}
	return m
}

// read brings a daemon's records up to date. Records are values that nobody
// changes, as in the mirror.
func (m *model) read(c *controller) {
	c.pools, c.members, c.memberRev, c.waves = maps.Clone(m.pools), maps.Clone(m.members), maps.Clone(m.memberRev), maps.Clone(m.waves)
}

func (m *model) readList(c *controller) { c.instances = maps.Clone(m.listed) }

func (m *model) daemon(t *rapid.T) *controller {
	return m.daemons[rapid.IntRange(0, controllers-1).Draw(t, "daemon")]
}

func (m *model) pool(t *rapid.T) fleet.PoolName {
	return rapid.SampledFrom([]fleet.PoolName{"a", "b"}).Draw(t, "pool")
}

func (m *model) instance(t *rapid.T) fleet.InstanceID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.truth))).Draw(t, "instance")
}

func (c *controller) membersOf(p fleet.PoolName) (out []fleet.Membership) {
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if c.members[id].Pool == p {
			out = append(out, c.members[id])
		}
	}
	return out
}

// act plans for one pool from what the daemon knows and applies the parts: the
// commands of the record it knows go out, and its changes win only if the
// records are still those that it planned from. The answer of a write may be
// lost, which changes nothing: the daemon reads again before it acts again.
func (m *model) act(t *rapid.T) {
	c, name := m.daemon(t), m.pool(t)
	base := c.pools[name]
	plan := wave.Reconcile(m.input(c, name))
	for _, s := range plan.Commands {
		m.network = append(m.network, sent{s.Instance, s.Command})
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
	m.checkGrant(t, c, base.pool, plan.Pool)
	m.pools[name] = versioned{plan.Pool, base.rev + 1}
}

func (m *model) input(c *controller, name fleet.PoolName) wave.Input {
	in := wave.Input{
		Now: m.now, Pool: c.pools[name].pool, Members: c.membersOf(name), Instances: c.instances,
		Membership: func(id fleet.InstanceID) *fleet.Membership { v := c.members[id]; return &v },
		Options:    wave.Options{RebootTimeout: time.Minute},
		NewID:      func() fleet.CommandID { m.ids++; return fleet.CommandID(fmt.Sprint("c", m.ids)) },
	}
	for _, w := range slices.Sorted(maps.Keys(c.waves)) {
		v := c.waves[w]
		in.Waves = append(in.Waves, &v)
	}
	return in
}

// checkGrant fails if a write claims an instance beyond the budget as the
// writer could know it.
func (m *model) checkGrant(t *rapid.T, c *controller, old, next *fleet.Pool) {
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
	if a.Out() > a.Allowed {
		t.Fatalf("granted beyond the budget: %s", a.Explain())
	}
}

func (m *model) readRecords(t *rapid.T) { m.read(m.daemon(t)) }
func (m *model) readInstances(t *rapid.T) {
	m.readList(m.daemon(t))
}

// show lets one change become visible in the platform's list.
func (m *model) show(t *rapid.T) {
	id := m.instance(t)
	m.listed[id] = m.truth[id]
}

// stateOf is the state that an action puts an instance into.
var stateOf = map[fleet.Action]fleet.InstanceState{
	fleet.ActionDrain: fleet.InstanceDraining, fleet.ActionReboot: fleet.InstanceRebooting, fleet.ActionReturn: fleet.InstanceReady,
}

// deliver carries out a command that is on its way, and may leave a duplicate.
func (m *model) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	s := m.network[i]
	if !rapid.Bool().Draw(t, "again later") {
		m.network = slices.Delete(m.network, i, i+1)
	}
	inst := m.truth[s.instance]
	if m.commands[s.command.ID] || inst.Generation != s.command.Generation || inst.State == fleet.InstanceFailed {
		return
	}
	m.commands[s.command.ID] = true
	inst.Generation++
	inst.LastCommand = s.command.ID
	inst.State = stateOf[s.command.Action]
	m.truth[s.instance] = inst
}

// finish lets a drain or reboot end.
func (m *model) finish(t *rapid.T) {
	id := m.instance(t)
	inst := m.truth[id]
	if inst.State == fleet.InstanceDraining || inst.State == fleet.InstanceRebooting {
		inst.State = fleet.InstanceDrained
		m.truth[id] = inst
	}
}

// fail takes an instance down by itself, or brings it back.
func (m *model) fail(t *rapid.T) {
	id := m.instance(t)
	inst := m.truth[id]
	inst.Generation++
	inst.State = fleet.InstanceFailed
	if rapid.Bool().Draw(t, "restart") {
		inst.State = fleet.InstanceReady
	}
	m.truth[id] = inst
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// order is an operator's command, which is planned from the newest records.
func (m *model) order(t *rapid.T) {
	id := m.instance(t)
	name := m.members[id].Pool
	v := m.pools[name]
	next := v.pool.Clone()
	switch rapid.IntRange(0, 3).Draw(t, "order") {
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
	m.pools[name] = versioned{next, v.rev + 1}
}

func (m *model) startWave(*rapid.T) {
	name := fleet.WaveName(fmt.Sprint("w", len(m.waves)))
	if len(m.waves) < 2 {
		m.waves[name] = fleet.Wave{Name: name, Pools: []fleet.PoolName{"a", "b"}, State: fleet.WaveRunning, StartedAt: m.now}
	}
}

// check tests after every step that each instance that a command took out is
// claimed by some pool, and by one only.
func (m *model) check(t *rapid.T) {
	for id, inst := range m.truth {
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

// TestSixDaemonsNeverBreakABudget interleaves six daemons with stale records
// and lists, late and repeated commands, failures and operators.
func TestSixDaemonsNeverBreakABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "act": m.act, "act2": m.act, "act3": m.act, "read records": m.readRecords, "read records2": m.readRecords,
			"read instances": m.readInstances, "read instances2": m.readInstances, "show": m.show, "show2": m.show, "deliver": m.deliver, "deliver2": m.deliver,
			"finish": m.finish, "fail": m.fail, "pass": m.pass, "order": m.order, "start wave": m.startWave,
		})
	})
}

// TestEverythingSettles lets a random history end, heals the platform and lets
// one daemon after another act: waves end, moves arrive and nothing stays out
// but what operators hold or what failed.
func TestEverythingSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.startWave(t)
		steps := []func(*rapid.T){m.act, m.act, m.readRecords, m.readInstances, m.show, m.deliver, m.finish, m.order, m.fail}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
		}
		for name, v := range m.pools {
			next := v.pool.Clone()
			next.Budget = fleet.AvailabilityBudget{MaxUnavailable: 2}
			m.pools[name] = versioned{next, v.rev + 1}
		}
		for round := range 120 {
			m.heal(m.daemons[round%controllers], t)
		}
		for name, v := range m.pools {
			for _, d := range v.pool.Disruptions {
				if d.Kind != fleet.DisruptByDrain {
					t.Fatalf("pool %s still has %s out: %+v, instance %+v", name, d.Instance, d, m.truth[d.Instance])
				}
			}
		}
	})
}

// heal lets one round go well: the platform repairs what failed, finishes what
// it was told and lists it, and the daemon acts on all of it.
func (m *model) heal(c *controller, t *rapid.T) {
	for id, inst := range m.truth {
		switch inst.State {
		case fleet.InstanceFailed:
			inst.State = fleet.InstanceReady
			inst.Generation++
		case fleet.InstanceDraining, fleet.InstanceRebooting:
			inst.State = fleet.InstanceDrained
		}
		m.truth[id] = inst
	}
	m.listed = maps.Clone(m.truth)
	m.read(c)
	m.readList(c)
	for _, name := range []fleet.PoolName{"a", "b"} {
		plan := wave.Reconcile(m.input(c, name))
		for _, s := range plan.Commands {
			m.network = []sent{{s.Instance, s.Command}}
			m.deliverAll()
		}
		for _, ch := range plan.MembershipChanges {
			m.members[ch.Instance] = fleet.Membership{Instance: ch.Instance, Pool: ch.To, Joining: ch.Joining}
		}
		if plan.Pool != nil {
			m.checkGrant(t, c, c.pools[name].pool, plan.Pool)
			m.pools[name] = versioned{plan.Pool, m.pools[name].rev + 1}
		}
	}
}

func (m *model) deliverAll() {
	for _, s := range m.network {
		inst := m.truth[s.instance]
		if m.commands[s.command.ID] || inst.Generation != s.command.Generation {
			continue
		}
		m.commands[s.command.ID] = true
		inst.Generation++
		inst.LastCommand = s.command.ID
		inst.State = stateOf[s.command.Action]
		m.truth[s.instance] = inst
	}
	m.network = nil
}
