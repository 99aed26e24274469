// Package wave decides how disruptions of a pool proceed and which instances a
// maintenance wave takes out next. It is pure: a snapshot and the time come
// in, a plan goes out, and the plan is applied afterwards by compare-and-swap.
package wave

import (
	"fmt"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Input is the snapshot that a pool's plan is made from.
type Input struct {
	Now       time.Time
	Pool      *fleet.Pool
	Members   []fleet.Membership // of the pool, sorted by instance
	Instances map[fleet.InstanceID]fleet.Instance
	Waves     []*fleet.Wave // that include the pool, in order of their start
	// Membership returns the record of an instance, nil if it has none.
	Membership func(fleet.InstanceID) *fleet.Membership
	Options    Options
	Weights    fleet.Weights
	NewID      func() fleet.CommandID
}

// Options of the rules.
type Options struct {
	// RebootTimeout is how long a reboot may take before the instance counts
	// as not coming back.
	RebootTimeout time.Duration
	// MaxConcurrent bounds how many instances a wave takes out of one pool at
	// once; 0 leaves it to the budget.
	MaxConcurrent int
}

// InstanceCommand is a command to pass on to the platform.
type InstanceCommand struct {
	Instance fleet.InstanceID
	Command  fleet.Command
}

// MembershipChange is a membership record to change.
type MembershipChange struct {
	Instance fleet.InstanceID
	From, To fleet.PoolName
	Joining  bool
}

// Plan is what to do for one pool. Each part is re-derived from what is
// observed, so that any daemon may apply any part of it any number of times.
type Plan struct {
	// Pool is the record to write, nil if it does not change.
	Pool              *fleet.Pool
	Commands          []InstanceCommand
	MembershipChanges []MembershipChange
	// Notes explain what was decided and what was left, for "why".
	Notes []Note
}

// Note explains one decision.
type Note struct {
	Instance fleet.InstanceID
	Text     string
}

// planner builds one plan.
type planner struct {
	in   Input
	next *fleet.Pool
	plan Plan
	// touched tells that next differs from the pool's record.
	touched bool
}

// Reconcile works out the plan for one pool.
func Reconcile(in Input) Plan {
	p := &planner{in: in, next: in.Pool.Clone()}
	for _, d := range in.Pool.Disruptions {
		p.advance(d)
	}
	p.settleJoining()
	p.grant()
	p.prune()
	if p.touched {
		p.plan.Pool = p.next
	}
	return p.plan
}

func (p *planner) note(id fleet.InstanceID, format string, args ...any) {
	p.plan.Notes = append(p.plan.Notes, Note{Instance: id, Text: fmt.Sprintf(format, args...)})
}

// advance moves one disruption on as far as the platform's report shows.
func (p *planner) advance(d fleet.Disruption) {
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
		p.carriedOut(d, inst)
	case inst.Generation > d.Command.Generation:
		p.overtaken(d, inst)
	default:
		p.plan.Commands = append(p.plan.Commands, InstanceCommand{Instance: d.Instance, Command: d.Command})
	}
}

// carriedOut handles a disruption whose command the platform has accepted.
func (p *planner) carriedOut(d fleet.Disruption, inst fleet.Instance) {
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

// overtaken handles an instance that something else acted on since the command
// was recorded, such as a restart. Its effect is unknown, so the phase starts
// again from what is seen now.
func (p *planner) overtaken(d fleet.Disruption, inst fleet.Instance) {
	p.note(d.Instance, "%s: the instance changed meanwhile (generation %d, now %d)", d.Phase, d.Command.Generation, inst.Generation)
	phase := fleet.PhaseDrain
	if d.Phase == fleet.PhaseReturn {
		phase = fleet.PhaseReturn
	}
	p.enter(d, phase, inst)
}

func (p *planner) nextPhase(d fleet.Disruption, inst fleet.Instance) {
	switch d.Phase {
	case fleet.PhaseDrain:
		p.drained(d, inst)
	case fleet.PhaseReboot:
		p.enter(d, fleet.PhaseReturn, inst)
	case fleet.PhaseReturn:
		p.release(d)
	}
}

func (p *planner) drained(d fleet.Disruption, inst fleet.Instance) {
	switch d.Kind {
	case fleet.DisruptByWave:
		p.enter(d, fleet.PhaseReboot, inst)
	case fleet.DisruptByMove:
		p.enter(d, fleet.PhaseMove, inst)
	default:
		p.enter(d, fleet.PhaseHeld, inst)
	}
}

func (p *planner) advanceHeld(d fleet.Disruption, inst fleet.Instance) {
	if !d.LeaveWanted {
		p.note(d.Instance, "held out of service since %s by an operator", d.PhaseAt.Format(time.TimeOnly))
		return
	}
	p.enter(d, fleet.PhaseReturn, inst)
}

// advanceMove changes the membership record of an empty instance; once the
// record shows the new pool, the instance returns to service there.
func (p *planner) advanceMove(d fleet.Disruption, inst fleet.Instance) {
	m := p.in.Membership(d.Instance)
	if m != nil && m.Pool == d.Target {
		p.enter(d, fleet.PhaseReturn, inst)
		return
	}
	p.plan.MembershipChanges = append(p.plan.MembershipChanges, MembershipChange{Instance: d.Instance, From: p.in.Pool.Name, To: d.Target, Joining: true})
}

// commandOf is the action that belongs to a phase.
var commandOf = map[fleet.Phase]fleet.Action{
	fleet.PhaseDrain:  fleet.ActionDrain,
	fleet.PhaseReboot: fleet.ActionReboot,
	fleet.PhaseReturn: fleet.ActionReturn,
}

// enter records the next phase together with its command. The command is sent
// once the record is written.
func (p *planner) enter(d fleet.Disruption, phase fleet.Phase, inst fleet.Instance) {
	next := p.next.Disruption(d.Instance)
	next.Phase = phase
	next.PhaseAt = p.in.Now
	next.Command = fleet.Command{}
	if action, ok := commandOf[phase]; ok {
		next.Command = fleet.Command{ID: p.in.NewID(), Action: action, Generation: inst.Generation}
	}
	p.touched = true
}

// meanWeight is the weight of the newest observation in Pool.MeanOut.
const meanWeight = 0.3

// release ends a disruption whose instance was seen back in service.
func (p *planner) release(d fleet.Disruption) {
	p.next.RemoveDisruption(d.Instance)
	p.touched = true
	if d.Kind != fleet.DisruptByWave || p.next.MaintainedBy(d.Wave, d.Instance) {
		return
	}
	p.next.Maintained = append(p.next.Maintained, fleet.MaintenanceResult{Wave: d.Wave, Instance: d.Instance})
	out := p.in.Now.Sub(d.Since)
	if p.next.MeanOut == 0 {
		p.next.MeanOut = out
		return
	}
	p.next.MeanOut += time.Duration(meanWeight * float64(out-p.next.MeanOut))
}

// giveUp ends a disruption whose instance failed. It stays out, and counts
// against the budget as failed.
func (p *planner) giveUp(d fleet.Disruption, why string) {
	p.note(d.Instance, "given up: %s", why)
	if d.Kind == fleet.DisruptByWave && !p.next.MaintainedBy(d.Wave, d.Instance) {
		p.next.Maintained = append(p.next.Maintained, fleet.MaintenanceResult{Wave: d.Wave, Instance: d.Instance, Skipped: why})
		p.touched = true
	}
	if p.in.Instances[d.Instance].State == fleet.InstanceFailed {
		p.next.RemoveDisruption(d.Instance)
		p.touched = true
	}
}

// settleJoining clears the joining mark of instances that serve in the pool.
func (p *planner) settleJoining() {
	for _, m := range p.in.Members {
		inst := p.in.Instances[m.Instance]
		if m.Joining && inst.Serving() {
			p.plan.MembershipChanges = append(p.plan.MembershipChanges, MembershipChange{Instance: m.Instance, From: p.in.Pool.Name, To: p.in.Pool.Name})
		}
	}
}

// prune forgets what ended waves did.
func (p *planner) prune() {
	running := map[fleet.WaveName]bool{}
	for _, w := range p.in.Waves {
		running[w.Name] = !w.Ended()
	}
	kept := p.next.Maintained[:0:0]
	for _, m := range p.next.Maintained {
		if alive, known := running[m.Wave]; !known || alive {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(p.next.Maintained) {
		p.next.Maintained = kept
		p.touched = true
	}
}
