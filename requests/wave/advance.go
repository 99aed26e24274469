// Package wave decides how the disruptions of a pool proceed and which instances
// a maintenance wave takes out of service next. It has no side effects: it
// computes a plan from a snapshot and the current time, and the caller applies
// the plan by compare-and-swap.
package wave

import (
	"fmt"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Input is the snapshot from which a pool's plan is computed.
type Input struct {
	Now       time.Time
	Pool      *fleet.Pool
	Members   []fleet.Membership // of the pool, sorted by instance
	Instances map[fleet.InstanceID]fleet.Instance
	Waves     []*fleet.Wave // those that cover the pool, sorted by start time
	// Membership returns the record of an instance, nil if it has none.
	Membership func(fleet.InstanceID) *fleet.Membership
	Options    Options
	Weights    fleet.Weights
	NewID      func() fleet.CommandID
}

// Options configure the planning.
type Options struct {
	// RebootTimeout is how long a reboot may take before the wave skips the
	// instance.
	RebootTimeout time.Duration
	// MaxConcurrent bounds how many instances a wave takes out of one pool at the same
	// time; 0 leaves it to the budget.
	MaxConcurrent int
}

// InstanceCommand is a command to send to the platform for one instance.
type InstanceCommand struct {
	Instance fleet.InstanceID
	Command  fleet.Command
}

// MembershipChange moves an instance from one pool to another, or changes its
// Joining flag if From equals To.
type MembershipChange struct {
	Instance fleet.InstanceID
	From, To fleet.PoolName
	Joining  bool
}

// Plan is what to do for one pool. Every part is recomputed from the observed
// state, so any daemon may apply any part of it any number of times.
type Plan struct {
	// Pool is the record to write, nil if it is unchanged.
	Pool              *fleet.Pool
	Commands          []InstanceCommand
	MembershipChanges []MembershipChange
	// Notes explain the decisions to operators, who read them with the statement "why".
	Notes []Note
}

// Note explains one decision.
type Note struct {
	Instance fleet.InstanceID // "" if the decision is about the whole pool
	Text     string
}

// planner computes the plan of one pool. It applies the changes to next, a copy of
// the pool's record.
type planner struct {
	in   Input
	next *fleet.Pool
	plan Plan
	// poolChanged is true if next differs from in.Pool, so that it must be written.
	poolChanged bool
}

// Reconcile computes the plan for one pool.
func Reconcile(in Input) Plan {
	p := &planner{in: in, next: in.Pool.Clone()}
	for _, d := range in.Pool.Disruptions {
		p.advanceDisruption(d)
	}
	p.clearJoining()
	p.grantDisruptions()
	p.pruneMaintained()
	if p.poolChanged {
		p.plan.Pool = p.next
	}
	return p.plan
}

func (p *planner) note(id fleet.InstanceID, format string, args ...any) {
	p.plan.Notes = append(p.plan.Notes, Note{Instance: id, Text: fmt.Sprintf(format, args...)})
}

// advanceDisruption starts the next phase of d if the platform reports that the
// current one is complete, and resends the current command otherwise.
func (p *planner) advanceDisruption(d fleet.Disruption) {
	inst, listed := p.in.Instances[d.Instance]
	if !listed {
		p.note(d.Instance, "%s: not in the instance list", d.Phase)
		return
	}
	switch d.Phase {
	case fleet.PhaseHeld:
		p.advanceHeld(d, inst)
		return
	case fleet.PhaseMove:
		p.advanceMove(d, inst)
		return
	}
	switch {
	case inst.State == fleet.InstanceFailed && d.Phase != fleet.PhaseDrain:
		p.giveUp(d, "failed during "+string(d.Phase))
	case inst.State == fleet.InstanceFailed:
		p.giveUp(d, "failed before it was drained")
	case inst.LastCommand == d.Command.ID && inst.Generation == d.Command.Generation+1:
		p.handleExecutedCommand(d, inst)
	case inst.Generation > d.Command.Generation:
		p.restartPhase(d, inst)
	default:
		p.plan.Commands = append(p.plan.Commands, InstanceCommand{Instance: d.Instance, Command: d.Command})
	}
}

// handleExecutedCommand handles a disruption whose command the platform has carried
// out: it starts the next phase once the instance has reached the state that the
// command leads to.
func (p *planner) handleExecutedCommand(d fleet.Disruption, inst fleet.Instance) {
	done := false
	switch d.Phase {
	case fleet.PhaseDrain, fleet.PhaseReboot:
		done = inst.State == fleet.InstanceDrained
	case fleet.PhaseReturn:
		done = inst.State == fleet.InstanceReady
	}
	switch {
	case done:
		p.nextPhase(d, inst)
	case d.Phase == fleet.PhaseReboot && p.in.Now.Sub(d.PhaseAt) > p.in.Options.RebootTimeout:
		p.giveUp(d, "did not come back from its reboot")
	default:
		p.note(d.Instance, "%s since %s, the platform reports %s", d.Phase, d.PhaseAt.Format(time.TimeOnly), inst.State)
	}
}

// restartPhase handles an instance whose generation changed for another reason
// than the recorded command, such as a restart. The effect of the command is then
// unknown, so the phase starts again with the current generation.
func (p *planner) restartPhase(d fleet.Disruption, inst fleet.Instance) {
	p.note(d.Instance, "%s: the instance changed since the command was recorded (generation %d, now %d)", d.Phase, d.Command.Generation, inst.Generation)
	phase := fleet.PhaseDrain
	if d.Phase == fleet.PhaseReturn {
		phase = fleet.PhaseReturn
	}
	p.enterPhase(d, phase, inst)
}

func (p *planner) nextPhase(d fleet.Disruption, inst fleet.Instance) {
	switch d.Phase {
	case fleet.PhaseDrain:
		p.enterPhaseAfterDrain(d, inst)
	case fleet.PhaseReboot:
		p.enterPhase(d, fleet.PhaseReturn, inst)
	case fleet.PhaseReturn:
		p.complete(d)
	}
}

func (p *planner) enterPhaseAfterDrain(d fleet.Disruption, inst fleet.Instance) {
	switch d.Kind {
	case fleet.DisruptByWave:
		p.enterPhase(d, fleet.PhaseReboot, inst)
	case fleet.DisruptByMove:
		p.enterPhase(d, fleet.PhaseMove, inst)
	default:
		p.enterPhase(d, fleet.PhaseHeld, inst)
	}
}

// advanceHeld returns a held instance to service once an operator wants it.
func (p *planner) advanceHeld(d fleet.Disruption, inst fleet.Instance) {
	if !d.LeaveWanted {
		p.note(d.Instance, "held out of service since %s by an operator", d.PhaseAt.Format(time.TimeOnly))
		return
	}
	p.enterPhase(d, fleet.PhaseReturn, inst)
}

// advanceMove changes the membership record of a drained instance. Once the
// record names the new pool, the instance returns to service there.
func (p *planner) advanceMove(d fleet.Disruption, inst fleet.Instance) {
	m := p.in.Membership(d.Instance)
	if m != nil && m.Pool == d.Target {
		p.enterPhase(d, fleet.PhaseReturn, inst)
		return
	}
	p.plan.MembershipChanges = append(p.plan.MembershipChanges, MembershipChange{Instance: d.Instance, From: p.in.Pool.Name, To: d.Target, Joining: true})
}

// phaseActions maps each phase that needs a command to its action.
var phaseActions = map[fleet.Phase]fleet.Action{
	fleet.PhaseDrain:  fleet.ActionDrain,
	fleet.PhaseReboot: fleet.ActionReboot,
	fleet.PhaseReturn: fleet.ActionReturn,
}

// enterPhase records the next phase with its command. The command is sent only
// after the record is written.
func (p *planner) enterPhase(d fleet.Disruption, phase fleet.Phase, inst fleet.Instance) {
	next := p.next.Disruption(d.Instance)
	next.Phase = phase
	next.PhaseAt = p.in.Now
	next.Command = fleet.Command{}
	if action, ok := phaseActions[phase]; ok {
		next.Command = fleet.Command{ID: p.in.NewID(), Action: action, Generation: inst.Generation}
	}
	p.poolChanged = true
}

// meanOutSmoothing is the weight of the newest observation in Pool.MeanOut, an
// exponential moving average.
const meanOutSmoothing = 0.3

// complete ends a disruption whose instance is back in service.
func (p *planner) complete(d fleet.Disruption) {
	p.next.RemoveDisruption(d.Instance)
	p.poolChanged = true
	if d.Kind != fleet.DisruptByWave || p.next.MaintainedBy(d.Wave, d.Instance) {
		return
	}
	p.next.Maintained = append(p.next.Maintained, fleet.MaintenanceResult{Wave: d.Wave, Instance: d.Instance})
	out := p.in.Now.Sub(d.Since)
	if p.next.MeanOut == 0 {
		p.next.MeanOut = out
		return
	}
	p.next.MeanOut += time.Duration(meanOutSmoothing * float64(out-p.next.MeanOut))
}

// giveUp skips an instance that failed or did not come back from its reboot. A
// failed instance loses its claim and counts against the budget as failed; any
// other keeps its claim, which goes on using the budget.
func (p *planner) giveUp(d fleet.Disruption, why string) {
	p.note(d.Instance, "given up: %s", why)
	if d.Kind == fleet.DisruptByWave && !p.next.MaintainedBy(d.Wave, d.Instance) {
		p.next.Maintained = append(p.next.Maintained, fleet.MaintenanceResult{Wave: d.Wave, Instance: d.Instance, Skipped: why})
		p.poolChanged = true
	}
	if p.in.Instances[d.Instance].State == fleet.InstanceFailed {
		p.next.RemoveDisruption(d.Instance)
		p.poolChanged = true
	}
}

// clearJoining clears the Joining flag of members that are in service.
func (p *planner) clearJoining() {
	for _, m := range p.in.Members {
		inst := p.in.Instances[m.Instance]
		if m.Joining && inst.Serving() {
			p.plan.MembershipChanges = append(p.plan.MembershipChanges, MembershipChange{Instance: m.Instance, From: p.in.Pool.Name, To: p.in.Pool.Name})
		}
	}
}

// pruneMaintained removes the results of ended waves. Results of waves that are not
// in the input are kept.
func (p *planner) pruneMaintained() {
	active := map[fleet.WaveName]bool{}
	for _, w := range p.in.Waves {
		active[w.Name] = !w.Ended()
	}
	kept := p.next.Maintained[:0:0]
	for _, m := range p.next.Maintained {
		if isActive, known := active[m.Wave]; !known || isActive {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(p.next.Maintained) {
		p.next.Maintained = kept
		p.poolChanged = true
	}
}
