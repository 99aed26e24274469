package command

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
)

// show returns the table of the rows that meet every condition.
func (p *planner) show(s *query.Show) (Plan, error) {
	t := p.table(s.Kind)
	for _, c := range s.Where {
		col := slices.Index(t.Columns, c.Field)
		if col < 0 {
			return Plan{}, refuse(CodeUnknownName, "%s have no field %q; they have %s", s.Kind, c.Field, strings.Join(t.Columns, ", "))
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return (row[col] == string(c.Value)) == c.Negated })
	}
	return Plan{Table: t}, nil
}

func (p *planner) table(kind string) *Table {
	switch kind {
	case "pools":
		return p.pools()
	case "instances":
		return p.instances()
	case "jobs":
		return p.jobs()
	case "waves":
		return p.waves()
	case "services":
		return p.services()
	case "routes":
		return p.routes()
	case "teams":
		return p.teams()
	default:
		return p.revisions()
	}
}

func (p *planner) pools() *Table {
	t := &Table{Columns: []string{"pool", "service", "size", "allowed", "out", "failed", "budget", "revision"}}
	members := p.state.MembersByPool()
	for _, name := range p.state.SortedPools() {
		v := p.state.Pools[name]
		status := budget.Compute(v.Value, members[name], p.Snapshot.Instances)
		t.Rows = append(t.Rows, []string{
			string(name), string(v.Value.Service), strconv.Itoa(status.Size), strconv.Itoa(status.Allowed), strconv.Itoa(status.OutOfService()),
			strconv.Itoa(len(status.Failed)), v.Value.Budget.String(), formatRevision(v.Revision),
		})
	}
	return t
}

func formatRevision(r fleet.Revision) string { return strconv.FormatInt(int64(r), 10) }

func (p *planner) instances() *Table {
	t := &Table{Columns: []string{"instance", "pool", "zone", "rack", "state", "phase", "reason", "generation"}}
	for _, id := range slices.Sorted(maps.Keys(p.Snapshot.Instances)) {
		inst := p.Snapshot.Instances[id]
		pool, phase, reason := "", "", ""
		if m := p.state.Membership(id); m != nil {
			pool = string(m.Pool)
		}
		if _, d := p.disruptionOf(id); d != nil {
			phase, reason = string(d.Phase), describeDisruption(d)
		}
		t.Rows = append(t.Rows, []string{
			string(id), pool, string(inst.Zone), string(inst.Rack), string(inst.State), phase, reason, strconv.FormatInt(inst.Generation, 10),
		})
	}
	return t
}

// describeDisruption names the cause of a disruption.
func describeDisruption(d *fleet.Disruption) string {
	switch d.Kind {
	case fleet.DisruptByWave:
		return "wave " + string(d.Wave)
	case fleet.DisruptByMove:
		return "move to " + string(d.Target)
	default:
		return "operator's drain"
	}
}

func (p *planner) jobs() *Table {
	t := &Table{Columns: []string{"job", "pool", "team", "state", "worker", "attempt", "urgent", "reason"}}
	for _, pool := range slices.Sorted(maps.Keys(p.state.Jobs)) {
		for _, j := range p.state.Jobs[pool].Value.Jobs {
			t.Rows = append(t.Rows, []string{
				string(j.Name), string(pool), j.Team, string(j.State), string(j.Worker), strconv.Itoa(j.Attempt), strconv.FormatBool(j.Urgent), j.Reason,
			})
		}
	}
	return t
}

func (p *planner) waves() *Table {
	t := &Table{Columns: []string{"wave", "state", "pools", "remaining", "finished", "failed", "started", "deadline", "forecast", "reason", "revision"}}
	members := p.state.MembersByPool()
	for _, name := range p.state.SortedWaves() {
		v := p.state.Waves[name]
		progress := control.ComputeWaveProgress(p.Snapshot, members, v.Value)
		var pools []string
		for _, n := range v.Value.Pools {
			pools = append(pools, string(n))
		}
		t.Rows = append(t.Rows, []string{
			string(name), string(v.Value.State), strings.Join(pools, " "), strconv.Itoa(progress.Remaining), strconv.Itoa(progress.Finished), strconv.Itoa(progress.Failed),
			formatTime(v.Value.StartedAt), formatTime(v.Value.Deadline), formatTime(progress.EstimatedEnd), v.Value.Reason, formatRevision(v.Revision),
		})
	}
	return t
}

// formatTime formats t by RFC 3339, and the zero time as "".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}

func (p *planner) services() *Table {
	t := &Table{Columns: []string{"service", "class", "weight", "availability", "latency"}}
	for _, s := range p.state.Config.Value.Services {
		for _, class := range s.Classes {
			t.Rows = append(t.Rows, []string{
				string(s.Name), string(class.Name), strconv.Itoa(class.Weight),
				strconv.FormatFloat(class.Objective.Availability*100, 'f', -1, 64), class.Objective.Latency.String(),
			})
		}
	}
	return t
}

func (p *planner) routes() *Table {
	t := &Table{Columns: []string{"host", "prefix", "service", "class", "idempotent", "timeout"}}
	for _, r := range p.state.Config.Value.Routes {
		t.Rows = append(t.Rows, []string{
			r.Host, r.Prefix, string(r.Service), string(r.Class), strconv.FormatBool(r.Idempotent), r.Timeout.String(),
		})
	}
	return t
}

func (p *planner) teams() *Table {
	t := &Table{Columns: []string{"team", "cpu", "memory", "accelerators"}}
	for _, team := range p.state.Config.Value.Teams {
		t.Rows = append(t.Rows, []string{
			team.Name, strconv.FormatFloat(float64(team.Quota.CPUMilli)/milliPerCore, 'f', -1, 64), strconv.Itoa(team.Quota.MemoryMB), strconv.Itoa(team.Quota.Accelerators),
		})
	}
	return t
}

// revisions lists the revision of each record. Row "known" is the newest revision that
// the snapshot includes.
func (p *planner) revisions() *Table {
	t := &Table{Columns: []string{"record", "revision"}}
	t.Rows = append(t.Rows, []string{"known", formatRevision(p.state.Revision)})
	t.Rows = append(t.Rows, []string{"config", formatRevision(p.state.Config.Revision)})
	t.Rows = append(t.Rows, []string{"view", formatRevision(p.state.View.Revision)})
	for _, n := range p.state.SortedPools() {
		t.Rows = append(t.Rows, []string{"pool " + string(n), formatRevision(p.state.Pools[n].Revision)})
	}
	for _, n := range p.state.SortedWaves() {
		t.Rows = append(t.Rows, []string{"wave " + string(n), formatRevision(p.state.Waves[n].Revision)})
	}
	return t
}
