package command

import (
	"time"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
)

// startWave records a new wave. The reconcile loop starts to maintain its pools.
func (p *planner) startWave(s *query.StartWave) (Plan, error) {
	name := fleet.WaveName(s.Name)
	if old, ok := p.state.Waves[name]; ok {
		if old.Value.Applied.Contains(p.ID) {
			return completed(old.Revision, "wave %s started on %d pools", name, len(old.Value.Pools))
		}
		return Plan{}, refuse(CodeExists, "wave %q already exists and is %s", name, old.Value.State)
	}
	w := &fleet.Wave{Name: name, State: fleet.WaveRunning, StartedAt: p.Now, Applied: fleet.CommandLog{p.ID}}
	if s.Within > 0 {
		w.Deadline = p.Now.Add(time.Duration(s.Within))
	}
	if s.All {
		w.Pools = p.state.SortedPools()
	}
	for _, pool := range s.Pools {
		if _, err := p.pool(fleet.PoolName(pool)); err != nil {
			return Plan{}, err
		}
		if w.Covers(fleet.PoolName(pool)) {
			return Plan{}, refuse(CodeNotAllowed, "pool %q is named twice", pool)
		}
		w.Pools = append(w.Pools, fleet.PoolName(pool))
	}
	if len(w.Pools) == 0 {
		return Plan{}, refuse(CodeNotAllowed, "there are no pools to maintain")
	}
	return planWrite(p, record.WaveKey(name), fleet.Versioned[fleet.Wave]{}, w)
}

// changeWave pauses, resumes or cancels a wave that has not ended.
func (p *planner) changeWave(s *query.ChangeWave) (Plan, error) {
	v, ok := p.state.Waves[fleet.WaveName(s.Name)]
	if !ok {
		return Plan{}, refuse(CodeUnknownName, "there is no wave %q", s.Name)
	}
	if v.Value.Applied.Contains(p.ID) {
		return completed(v.Revision, "wave %s is %s", s.Name, v.Value.State)
	}
	if v.Value.Ended() {
		return Plan{}, refuse(CodeNotAllowed, "wave %s is %s", s.Name, v.Value.State)
	}
	next := v.Value.Clone()
	switch s.Verb {
	case "pause":
		next.State = fleet.WavePaused
	case "resume":
		next.State = fleet.WaveRunning
		next.Reason = ""
		// The failures so far do not halt the wave again.
		next.Forgiven = control.ComputeWaveProgress(p.Snapshot, p.state.MembersByPool(), v.Value).Failed
	case "cancel":
		progress := control.ComputeWaveProgress(p.Snapshot, p.state.MembersByPool(), v.Value)
		next.Finished, next.Failed = progress.Finished, progress.Failed
		next.State = fleet.WaveCancelled
		next.EndedAt = p.Now
	}
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.WaveKey(v.Value.Name), v, next)
}
