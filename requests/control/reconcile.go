package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/wave"
)

// round is one reconcile round of the control goroutine.
type round struct {
	c       *Controller
	ctx     context.Context
	now     time.Time
	snap    *Snapshot
	members map[fleet.PoolName][]fleet.Membership
	// mayWrite is false while the store is not connected or the instance list is
	// too old. Recorded commands are then still sent, but nothing is written.
	mayWrite bool
}

// recordHistory adds the pools' current availability to the history.
func (r *round) recordHistory() {
	if len(r.snap.Instances) == 0 {
		return
	}
	for name, p := range r.snap.State.Pools {
		r.c.History.add(r.now, budget.Compute(p.Value, r.members[name], r.snap.Instances))
	}
}

// reconcilePool plans one pool and applies the plan.
func (r *round) reconcilePool(name fleet.PoolName) {
	p := r.snap.State.Pools[name]
	plan := wave.Reconcile(r.waveInput(name, p.Value))
	r.c.notes[name] = plan.Notes
	for _, cmd := range plan.Commands {
		r.c.send(r.ctx, r.now, cmd)
	}
	if !r.mayWrite {
		return
	}
	for _, ch := range plan.MembershipChanges {
		r.changeMembership(ch)
	}
	if plan.Pool != nil {
		write(r.ctx, r.c, record.PoolKey(name), p, plan.Pool)
	}
}

func (r *round) waveInput(name fleet.PoolName, p *fleet.Pool) wave.Input {
	members := slices.Clone(r.members[name])
	slices.SortFunc(members, func(a, b fleet.Membership) int { return cmp.Compare(a.Instance, b.Instance) })
	in := wave.Input{
		Now:        r.now,
		Pool:       p,
		Members:    members,
		Instances:  r.snap.Instances,
		Membership: r.snap.State.Membership,
		Options:    r.c.opts.Wave,
		Weights:    r.snap.State.Config.Value.Weights,
		NewID:      newCommandID,
	}
	for _, w := range r.snap.State.SortedWaves() {
		if v := r.snap.State.Waves[w].Value; v.Covers(name) {
			in.Waves = append(in.Waves, v)
		}
	}
	slices.SortStableFunc(in.Waves, func(a, b *fleet.Wave) int { return a.StartedAt.Compare(b.StartedAt) })
	return in
}

// changeMembership writes the membership record of one instance, if the instance
// is still in pool ch.From.
func (r *round) changeMembership(ch wave.MembershipChange) {
	shard := fleet.ShardOf(ch.Instance)
	base := r.snap.State.Shards[shard]
	if base.Value == nil {
		return
	}
	m := base.Value.Find(ch.Instance)
	if m == nil || m.Pool != ch.From {
		return
	}
	next := base.Value.Clone()
	target := next.Find(ch.Instance)
	target.Pool = ch.To
	target.Joining = ch.Joining
	write(r.ctx, r.c, record.ShardKey(shard), base, next)
}

// reconcileWave marks a wave as done when no instance remains, and as halted when
// wave.ShouldHalt asks for it.
func (r *round) reconcileWave(name fleet.WaveName) {
	w := r.snap.State.Waves[name]
	if !r.mayWrite || w.Value.Ended() {
		return
	}
	progress := ComputeWaveProgress(r.snap, r.members, w.Value)
	next := w.Value.Clone()
	switch {
	case progress.Remaining == 0 && progress.Known:
		next.State = fleet.WaveDone
		next.EndedAt = r.now
		next.Reason = ""
		next.Finished, next.Failed = progress.Finished, progress.Failed
	case w.Value.State == fleet.WaveRunning && wave.ShouldHalt(progress.Failed, progress.Granted, w.Value.Forgiven):
		next.State = fleet.WaveHalted
		next.Reason = "too many instances did not come back"
	default:
		return
	}
	r.c.deps.Log.Info("wave changed", zap.String("wave", string(name)), zap.String("state", string(next.State)), zap.String("reason", next.Reason))
	write(r.ctx, r.c, record.WaveKey(name), w, next)
}

// WaveProgress counts the instances of a wave by outcome.
type WaveProgress struct {
	Remaining int  // not finished yet, see wave.Remaining
	Finished  int  // rebooted and back in service
	Failed    int  // skipped because they failed or did not come back
	Granted   int  // taken out of service so far; 0 if the wave has ended
	Known     bool // false if no instance list has been read
	// EstimatedEnd is the estimated end of the wave; zero if there is no estimate.
	EstimatedEnd time.Time
}

// ComputeWaveProgress counts the progress of w over all its pools.
func ComputeWaveProgress(s *Snapshot, members map[fleet.PoolName][]fleet.Membership, w *fleet.Wave) WaveProgress {
	if w.Ended() {
		return WaveProgress{Finished: w.Finished, Failed: w.Failed, Known: true}
	}
	progress := WaveProgress{Known: len(s.Instances) > 0}
	for _, name := range w.Pools {
		p, ok := s.State.Pools[name]
		if !ok {
			continue
		}
		left := wave.Remaining(w.Name, p.Value, members[name], s.Instances)
		progress.Remaining += len(left)
		for _, m := range p.Value.Maintained {
			switch {
			case m.Wave != w.Name:
			case m.Skipped != "":
				progress.Failed++
			default:
				progress.Finished++
			}
		}
		for _, d := range p.Value.Disruptions {
			if d.Wave == w.Name && !p.Value.MaintainedBy(w.Name, d.Instance) {
				progress.Granted++
			}
		}
		allowed := budget.Compute(p.Value, members[name], s.Instances).Allowed
		if end, ok := wave.EstimateEnd(time.Now(), p.Value, len(left), allowed); ok && end.After(progress.EstimatedEnd) {
			progress.EstimatedEnd = end
		}
	}
	progress.Granted += progress.Finished + progress.Failed
	return progress
}
