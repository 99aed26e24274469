// Package policy holds the settings for the scheduler's decisions. They are the same for every
// daemon of an installation and are read from a file in the repository.
package policy

import (
	"github.com/postmount/postmount/internal/strictoml"
	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/callpolicy"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/owner"
)

// Settings are the settings for the owner's decisions.
type Settings struct {
	Jobs    Jobs    `toml:"jobs"`
	Pools   Pools   `toml:"pools"`
	Workers Workers `toml:"workers"`
}

// Workers are the settings for calls to workers.
type Workers struct {
	Calls callpolicy.Policy `toml:"calls" validate:"oneof=adaptive patient short"`
}

// Jobs are the settings for which jobs are accepted and in which order they are placed.
type Jobs struct {
	Admission admission.Policy       `toml:"admission" validate:"oneof=late start-orders impossible never"`
	Order     owner.SchedulingPolicy `toml:"order" validate:"oneof=worth first-in-first-out shortest slack"`
}

// Pools are the settings for the sizes of pools.
type Pools struct {
	Size capacity.Policy `toml:"size" validate:"oneof=demand threshold fixed"`
	// InstanceSecond and Move are the costs of one second of an instance in a pool and of one
	// move of an instance to another pool, in the same unit. Only their ratio counts: it
	// determines how long an idle instance is kept.
	InstanceSecond float64 `toml:"instance_second" validate:"min=0,max=1000"`
	Move           float64 `toml:"move" validate:"min=0,max=1000"`
}

// Default returns the defaults for settings that are missing in the file.
func Default() Settings {
	return Settings{
		Jobs:    Jobs{Admission: admission.Late, Order: owner.SchedulePriority},
		Workers: Workers{Calls: callpolicy.Adaptive},
		Pools: Pools{
			Size:           capacity.Demand,
			InstanceSecond: capacity.DefaultWeights.InstanceSecond,
			Move:           capacity.DefaultWeights.Move,
		},
	}
}

// Load reads and validates a file. The error lists all invalid settings.
func Load(path string) (Settings, error) { return strictoml.Load(path, Default(), nil) }

// Weights returns the weights for capacity.Plan.
func (p Pools) Weights() capacity.Weights {
	return capacity.Weights{InstanceSecond: p.InstanceSecond, Move: p.Move}
}
