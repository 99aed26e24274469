// Package policy holds the settings of the scheduler's decisions. They are the same
// for every daemon of an installation, and read from a file in the repository.
package policy

import (
	"github.com/postmount/postmount/internal/strictoml"
	"github.com/postmount/postmount/jobs/calls"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/owner"
)

// Settings say how the owner decides.
type Settings struct {
	Jobs    Jobs    `toml:"jobs"`
	Pools   Pools   `toml:"pools"`
	Workers Workers `toml:"workers"`
}

// Workers is about calls to workers.
type Workers struct {
	Calls calls.Policy `toml:"calls" validate:"oneof=adaptive patient short"`
}

// Jobs is about which job gets room first.
type Jobs struct {
	Order owner.SchedulingPolicy `toml:"order" validate:"oneof=worth first-in-first-out shortest slack"`
}

// Pools is about how many instances a pool has.
type Pools struct {
	Size capacity.Policy `toml:"size" validate:"oneof=demand threshold fixed"`
	// InstanceSecond and Move are prices in the same unit, of one second of an
	// instance in a pool and of one instance changing its pool. Only their ratio
	// counts: how long an idle instance is kept.
	InstanceSecond float64 `toml:"instance_second" validate:"min=0,max=1000"`
	Move           float64 `toml:"move" validate:"min=0,max=1000"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Jobs:    Jobs{Order: owner.SchedulePriority},
		Workers: Workers{Calls: calls.Adaptive},
		Pools: Pools{
			Size:           capacity.Demand,
			InstanceSecond: capacity.DefaultWeights.InstanceSecond,
			Move:           capacity.DefaultWeights.Move,
		},
	}
}

// Load reads and checks a file. The error lists every mistake.
func Load(path string) (Settings, error) { return strictoml.Load(path, Default(), nil) }

// Weights returns the weights of the plan of pools.
func (p Pools) Weights() capacity.Weights {
	return capacity.Weights{InstanceSecond: p.InstanceSecond, Move: p.Move}
}
