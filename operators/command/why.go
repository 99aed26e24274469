package command

import (
	"fmt"
	"slices"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
)

// why explains the state of an object, one fact or rule per row.
func (p *planner) why(s *query.Why) (Plan, error) {
	t := &Table{Columns: []string{"because"}}
	add := func(format string, args ...any) { t.Rows = append(t.Rows, []string{fmt.Sprintf(format, args...)}) }
	var err error
	switch s.Kind {
	case "instance":
		err = p.whyInstance(fleet.InstanceID(s.Name), add)
	case "pool":
		err = p.whyPool(fleet.PoolName(s.Name), add)
	case "wave":
		err = p.whyWave(fleet.WaveName(s.Name), add)
	case "job":
		err = p.whyJob(fleet.JobName(s.Name), fleet.PoolName(s.Pool), add)
	}
	if err != nil {
		return Plan{}, err
	}
	return Plan{Table: t}, nil
}

// addRowFunc adds a row to an explanation.
type addRowFunc func(format string, args ...any)

func (p *planner) whyInstance(id fleet.InstanceID, add addRowFunc) error {
	m := p.state.Membership(id)
	inst, listed := p.Snapshot.Instances[id]
	if m == nil && !listed {
		return refuse(CodeUnknownName, "there is no instance %q", id)
	}
	if !listed {
		add("the platform does not list %s", id)
	} else {
		add("the platform reports %s as %s in zone %s, rack %s, generation %d (list read at %s)",
			id, inst.State, inst.Zone, inst.Rack, inst.Generation, formatTime(p.Snapshot.ListedAt))
	}
	if m == nil {
		add("%s belongs to no pool", id)
		return nil
	}
	add("%s belongs to pool %s", id, m.Pool)
	if m.Joining {
		add("it is joining the pool and does not count towards its size until it serves")
	}
	if v, ok := p.state.Pools[m.Pool]; ok {
		if r := v.Value.Request(id); r != nil {
			add("an operator's %s has waited for the budget since %s: %s", r.Kind, formatTime(r.At), p.budgetStatus(v.Value).Explain())
		}
	}
	poolRecord, d := p.disruptionOf(id)
	if d == nil {
		add("no drain, move or wave has it out of service")
		p.whyNotDrained(id, m.Pool, add)
		return nil
	}
	add("pool %s has it out of service for %s since %s, in phase %s since %s", poolRecord.Value.Name, describeDisruption(d), formatTime(d.Since), d.Phase, formatTime(d.PhaseAt))
	if d.Command.ID != "" {
		add("command %s %s for generation %d is repeated until the platform's instance list shows its effect", d.Command.Action, d.Command.ID, d.Command.Generation)
	}
	p.addNotes(poolRecord.Value.Name, id, add)
	return nil
}

// whyNotDrained explains, for each wave in progress on the pool, whether it has
// already maintained the instance, or else why it has not drained it.
func (p *planner) whyNotDrained(id fleet.InstanceID, pool fleet.PoolName, add addRowFunc) {
	v, ok := p.state.Pools[pool]
	if !ok {
		return
	}
	for _, name := range p.state.SortedWaves() {
		w := p.state.Waves[name].Value
		switch {
		case w.Ended() || !w.Covers(pool):
		case v.Value.MaintainedBy(name, id):
			add("wave %s has already maintained it", name)
		case w.State != fleet.WaveRunning:
			add("wave %s has not drained it: the wave is %s %s", name, w.State, w.Reason)
		default:
			add("wave %s has not drained it: %s", name, p.budgetStatus(v.Value).Explain())
		}
	}
}

func (p *planner) budgetStatus(pool *fleet.Pool) budget.Status {
	return budget.Compute(pool, p.state.MembersOf(pool.Name), p.Snapshot.Instances)
}

// addNotes adds the reconcile loop's notes about an instance.
func (p *planner) addNotes(pool fleet.PoolName, id fleet.InstanceID, add addRowFunc) {
	for _, n := range p.Snapshot.Notes[pool] {
		if n.Instance == id {
			add("%s", n.Text)
		}
	}
}

func (p *planner) whyPool(name fleet.PoolName, add addRowFunc) error {
	v, err := p.pool(name)
	if err != nil {
		return err
	}
	status := p.budgetStatus(v.Value)
	add("%s", status.Explain())
	add("budget %s for %d members allows %d out, so %d more may be taken out", v.Value.Budget, status.Size, status.Allowed, max(status.Headroom(), 0))
	if status.Headroom() < 0 {
		add("more instances are out than allowed: no more are taken out until enough have returned")
	}
	for _, d := range v.Value.Disruptions {
		add("%s: %s, in phase %s since %s", d.Instance, describeDisruption(&d), d.Phase, formatTime(d.PhaseAt))
	}
	for _, id := range status.Failed {
		add("%s: out because the platform reports it as %q", id, p.Snapshot.Instances[id].State)
	}
	for _, n := range p.Snapshot.Notes[name] {
		add("%s", n.Text)
	}
	return nil
}

func (p *planner) whyWave(name fleet.WaveName, add addRowFunc) error {
	v, ok := p.state.Waves[name]
	if !ok {
		return refuse(CodeUnknownName, "there is no wave %q", name)
	}
	w := v.Value
	progress := control.ComputeWaveProgress(p.Snapshot, p.state.MembersByPool(), w)
	add("wave %s is %s %s", name, w.State, w.Reason)
	if w.Ended() {
		add("it ran from %s to %s", formatTime(w.StartedAt), formatTime(w.EndedAt))
		return nil
	}
	add("%d instances are finished, %d given up, %d remain", progress.Finished, progress.Failed, progress.Remaining)
	if !progress.EstimatedEnd.IsZero() {
		add("it is forecast to end at %s", formatTime(progress.EstimatedEnd))
	}
	if !w.Deadline.IsZero() && progress.EstimatedEnd.After(w.Deadline) {
		add("it will not meet its deadline %s", formatTime(w.Deadline))
	}
	for _, pool := range w.Pools {
		if pv, ok := p.state.Pools[pool]; ok {
			add("%s", p.budgetStatus(pv.Value).Explain())
		}
		for _, n := range p.Snapshot.Notes[pool] {
			add("%s: %s", pool, n.Text)
		}
	}
	return nil
}

func (p *planner) whyJob(name fleet.JobName, pool fleet.PoolName, add addRowFunc) error {
	found := false
	for _, n := range p.state.SortedPools() {
		js, ok := p.state.Jobs[n]
		if !ok || (pool != "" && pool != n) {
			continue
		}
		i := slices.IndexFunc(js.Value.Jobs, func(j fleet.Job) bool { return j.Name == name })
		if i < 0 {
			continue
		}
		found = true
		p.explainJob(n, &js.Value.Jobs[i], add)
	}
	if !found {
		return refuse(CodeUnknownName, "there is no job %q", name)
	}
	return nil
}

func (p *planner) explainJob(pool fleet.PoolName, j *fleet.Job, add addRowFunc) {
	add("job %s of pool %s is %s", j.Name, pool, j.State)
	if j.Reason != "" {
		add("%s", j.Reason)
	}
	add("it requests %d millicores, %d MB, %d accelerators; submitted at %s", j.Need.CPUMilli, j.Need.MemoryMB, j.Need.Accelerators, formatTime(j.Submitted))
	if j.Worker != "" {
		add("attempt %d was placed on %s at %s", j.Attempt, j.Worker, formatTime(j.PlacedAt))
	}
	if !j.LostAt.IsZero() {
		add("its worker has not reported it since %s; it is placed again once the task's lease has certainly expired", formatTime(j.LostAt))
	}
	if j.Failures > 0 {
		add("%d of its attempts failed", j.Failures)
	}
}
