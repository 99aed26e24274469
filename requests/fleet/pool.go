package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// PoolName names a pool of instances.
type PoolName string

// AvailabilityBudget bounds how many instances of a pool may be out of service at the
// same time.
type AvailabilityBudget struct {
	// MaxUnavailable is a number of instances, or a percentage of the pool if
	// Percent is true. A percentage is rounded down, so that rounding never allows
	// an additional disruption.
	MaxUnavailable int
	Percent        bool
	// MinAvailable is the least number of instances that the budget keeps in service;
	// 0 means no minimum. It also bounds how far moves may shrink the pool.
	MinAvailable int
	// SurviveZone requires that the budget would still hold if the largest
	// availability zone of the pool failed.
	SurviveZone bool
}

// Allowed returns how many instances of a pool of the given size may be out of service
// at the same time.
func (b AvailabilityBudget) Allowed(size int) int {
	allowed := b.MaxUnavailable
	if b.Percent {
		allowed = size * b.MaxUnavailable / 100
	}
	if b.MinAvailable > 0 {
		allowed = min(allowed, size-b.MinAvailable)
	}
	return max(min(allowed, size), 0)
}

// String returns the operators' notation: "2" or "10%".
func (b AvailabilityBudget) String() string {
	if b.Percent {
		return strconv.Itoa(b.MaxUnavailable) + "%"
	}
	return strconv.Itoa(b.MaxUnavailable)
}

// ParseMaxUnavailable reads "N" or "N%" into a budget that sets only MaxUnavailable
// and Percent.
func ParseMaxUnavailable(s string) (AvailabilityBudget, error) {
	digits, percent := strings.CutSuffix(s, "%")
	n, err := strconv.Atoi(digits)
	if err != nil || n < 0 || (percent && n > 100) {
		return AvailabilityBudget{}, fmt.Errorf("max-unavailable %q: want a number of instances or 0%% to 100%%", s)
	}
	return AvailabilityBudget{MaxUnavailable: n, Percent: percent}, nil
}

// Phase is the step that a disruption is in.
type Phase string

// Phases of a disruption. Drain, reboot and return each have one recorded command
// and end only when the platform reports its effect.
const (
	PhaseDrain  Phase = "drain"  // being drained
	PhaseHeld   Phase = "held"   // drained, kept out of service by an operator
	PhaseMove   Phase = "move"   // drained, its membership record is about to change
	PhaseReboot Phase = "reboot" // rebooting
	PhaseReturn Phase = "return" // returning to service
)

// DisruptionKind is the cause of a disruption.
type DisruptionKind string

// Kinds of disruption.
const (
	DisruptByWave  DisruptionKind = "wave"
	DisruptByDrain DisruptionKind = "drain"
	DisruptByMove  DisruptionKind = "move"
)

// Disruption is a claim of one instance on the availability budget, together with
// the outbox entry of its current command. Both change in one compare-and-swap of
// the pool's record.
type Disruption struct {
	Instance InstanceID
	Kind     DisruptionKind
	Wave     WaveName `json:",omitempty"` // set when Kind is DisruptByWave
	Target   PoolName `json:",omitempty"` // set when Kind is DisruptByMove
	Phase    Phase
	Command  Command
	Since    time.Time // when the budget was claimed
	PhaseAt  time.Time // when Phase began
	// LeaveWanted is set when an operator wants a held instance to return.
	LeaveWanted bool `json:",omitempty"`
}

// MaintenanceResult records that a wave has finished with an instance.
type MaintenanceResult struct {
	Wave     WaveName
	Instance InstanceID
	// Skipped is why the wave gave up on the instance, "" if the instance was
	// rebooted and is back in service.
	Skipped string `json:",omitempty"`
}

// Request is an operator's drain or move that waits for the budget. It takes
// precedence over waves.
type Request struct {
	Instance InstanceID
	Kind     DisruptionKind // DisruptByDrain or DisruptByMove
	Target   PoolName       `json:",omitempty"` // set when Kind is DisruptByMove
	At       time.Time
}

// Pool is the record of one pool: its configuration (Service, Budget), operators'
// requests, the claims on its budget, and the commands not yet confirmed. Any daemon
// may write it, by compare-and-swap on its revision.
type Pool struct {
	Name        PoolName
	Service     ServiceName
	Budget      AvailabilityBudget
	Requests    []Request           `json:",omitempty"`
	Disruptions []Disruption        `json:",omitempty"`
	Maintained  []MaintenanceResult `json:",omitempty"`
	// MeanOut is the moving average of how long an instance is out of service for
	// maintenance, used for estimates. It is zero until the first instance is back.
	MeanOut time.Duration `json:",omitempty"`
	Applied CommandLog    `json:",omitempty"`
}

// Clone returns a deep copy of p.
func (p *Pool) Clone() *Pool {
	c := *p
	c.Requests = slices.Clone(p.Requests)
	c.Disruptions = slices.Clone(p.Disruptions)
	c.Maintained = slices.Clone(p.Maintained)
	c.Applied = slices.Clone(p.Applied)
	return &c
}

// Disruption returns the disruption of instance id, or nil.
func (p *Pool) Disruption(id InstanceID) *Disruption {
	for i := range p.Disruptions {
		if p.Disruptions[i].Instance == id {
			return &p.Disruptions[i]
		}
	}
	return nil
}

// Request returns the operator's request for instance id, or nil.
func (p *Pool) Request(id InstanceID) *Request {
	for i := range p.Requests {
		if p.Requests[i].Instance == id {
			return &p.Requests[i]
		}
	}
	return nil
}

// RemoveRequest removes the operator's request for instance id.
func (p *Pool) RemoveRequest(id InstanceID) {
	p.Requests = slices.DeleteFunc(p.Requests, func(r Request) bool { return r.Instance == id })
}

// RemoveDisruption removes the disruption of instance id.
func (p *Pool) RemoveDisruption(id InstanceID) {
	p.Disruptions = slices.DeleteFunc(p.Disruptions, func(d Disruption) bool { return d.Instance == id })
}

// MaintainedBy reports whether wave w has finished with instance id.
func (p *Pool) MaintainedBy(w WaveName, id InstanceID) bool {
	return slices.ContainsFunc(p.Maintained, func(m MaintenanceResult) bool {
		return m.Wave == w && m.Instance == id
	})
}

// commandLogSize is the number of operator commands that a record keeps.
const commandLogSize = 64

// CommandLog lists the operator commands that have been applied to a record, so that
// a repeated command is not applied again.
type CommandLog []CommandID

// Contains reports whether id is in the log.
func (l CommandLog) Contains(id CommandID) bool { return slices.Contains(l, id) }

// Append returns the log with id appended, without the oldest ids beyond
// commandLogSize.
func (l CommandLog) Append(id CommandID) CommandLog {
	out := append(slices.Clone(l), id)
	if len(out) > commandLogSize {
		out = out[len(out)-commandLogSize:]
	}
	return out
}
