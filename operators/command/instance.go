package command

import (
	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
)

// drain records an operator's request to take an instance out of service. The
// reconcile loop drains it once the pool's budget allows it.
func (p *planner) drain(id fleet.InstanceID) (Plan, error) {
	return p.recordRequest(fleet.Request{Instance: id, Kind: fleet.DisruptByDrain, At: p.Now})
}

// move records an operator's request to move an instance to another pool.
func (p *planner) move(id fleet.InstanceID, target fleet.PoolName) (Plan, error) {
	if _, err := p.pool(target); err != nil {
		return Plan{}, err
	}
	if v, ok := p.poolWithCommand(); ok {
		return completed(v.Revision, "move of instance %s to pool %s recorded", id, target)
	}
	if m := p.state.Membership(id); m != nil && m.Pool == target {
		return Plan{}, refuse(CodeNotAllowed, "instance %s is already in pool %s", id, target)
	}
	return p.recordRequest(fleet.Request{Instance: id, Kind: fleet.DisruptByMove, Target: target, At: p.Now})
}

// poolWithCommand returns the pool whose record already includes the command. Once the
// move has ended, the instance no longer belongs to that pool.
func (p *planner) poolWithCommand() (fleet.Versioned[fleet.Pool], bool) {
	for _, v := range p.state.Pools {
		if v.Value.Applied.Contains(p.ID) {
			return v, true
		}
	}
	return fleet.Versioned[fleet.Pool]{}, false
}

// recordRequest adds an operator's request to the record of the instance's pool.
func (p *planner) recordRequest(r fleet.Request) (Plan, error) {
	v, err := p.poolOfInstance(r.Instance)
	if err != nil {
		return Plan{}, err
	}
	if v.Value.Applied.Contains(p.ID) {
		return completed(v.Revision, "%s of instance %s recorded; %s", r.Kind, r.Instance, p.budgetStatus(v.Value).Explain())
	}
	if other, d := p.disruptionOf(r.Instance); d != nil && d.Kind != fleet.DisruptByWave {
		return Plan{}, refuse(CodeNotAllowed, "instance %s is already out of service: pool %s has it in phase %s for a %s since %s",
			r.Instance, other.Value.Name, d.Phase, d.Kind, d.Since.Format("15:04:05"))
	}
	if old := v.Value.Request(r.Instance); old != nil {
		return Plan{}, refuse(CodeNotAllowed, "a %s of instance %s is already waiting for the budget, since %s", old.Kind, r.Instance, old.At.Format("15:04:05"))
	}
	next := v.Value.Clone()
	next.Applied = next.Applied.Append(p.ID)
	next.Requests = append(next.Requests, r)
	return planWrite(p, record.PoolKey(v.Value.Name), v, next)
}

// returnInstance ends an operator's drain of an instance, or withdraws a request
// that still waits for the budget to allow it.
func (p *planner) returnInstance(id fleet.InstanceID) (Plan, error) {
	v, err := p.poolOfInstance(id)
	if err != nil {
		return Plan{}, err
	}
	if v.Value.Applied.Contains(p.ID) {
		return completed(v.Revision, "return of instance %s recorded", id)
	}
	next := v.Value.Clone()
	next.Applied = next.Applied.Append(p.ID)
	if v.Value.Request(id) != nil {
		next.RemoveRequest(id)
		return planWrite(p, record.PoolKey(v.Value.Name), v, next)
	}
	poolRecord, d := p.disruptionOf(id)
	switch {
	case d == nil:
		return Plan{}, refuse(CodeNotAllowed, "instance %s is not out of service", id)
	case d.Kind != fleet.DisruptByDrain:
		return Plan{}, refuse(CodeNotAllowed, "instance %s is out of service for a %s, which returns it automatically", id, d.Kind)
	case poolRecord.Value.Name != v.Value.Name:
		return Plan{}, refuse(CodeNotAllowed, "the drain of instance %s is recorded in pool %s, but the instance belongs to pool %s", id, poolRecord.Value.Name, v.Value.Name)
	}
	next.Disruption(id).LeaveWanted = true
	return planWrite(p, record.PoolKey(v.Value.Name), v, next)
}

// addInstances adds instances to a pool. Each plan writes one membership shard.
func (p *planner) addInstances(s *query.Add) (Plan, error) {
	pool := fleet.PoolName(s.Pool)
	if _, err := p.pool(pool); err != nil {
		return Plan{}, err
	}
	var newest fleet.Revision
	for _, name := range s.Instances {
		id := fleet.InstanceID(name)
		shard := p.state.Shards[fleet.ShardOf(id)]
		m := p.state.Membership(id)
		switch {
		case m == nil:
			return p.addToShard(fleet.ShardOf(id), s.Instances, pool)
		case m.Pool != pool:
			return Plan{}, refuse(CodeExists, "instance %s belongs to pool %s; use move", id, m.Pool)
		}
		newest = max(newest, shard.Revision)
	}
	return completed(newest, "pool %s has %d instances", pool, len(p.state.MembersOf(pool)))
}

// addToShard adds those of the instances that belong to one membership shard.
func (p *planner) addToShard(shard int, names []string, pool fleet.PoolName) (Plan, error) {
	base := p.state.Shards[shard]
	next := &fleet.MemberShard{}
	if base.Value != nil {
		next = base.Value.Clone()
	}
	for _, name := range names {
		id := fleet.InstanceID(name)
		if fleet.ShardOf(id) == shard && next.Find(id) == nil {
			next.Members = append(next.Members, fleet.Membership{Instance: id, Pool: pool})
		}
	}
	return planWrite(p, record.ShardKey(shard), base, next)
}
