package owner

import "time"

// poolState is what is known of the demand of a service.
type poolState struct {
	waiting float64 // cores that tasks wait for, at the last placement
	since   time.Time
}

func (c *Core) pool(service string) *poolState {
	p := c.pools[service]
	if p == nil {
		p = &poolState{}
		c.pools[service] = p
	}
	return p
}

// wait adds n tasks of a step that found no room.
func (p *poolState) wait(s *stepState, n int) {
	p.waiting += float64(n) * float64(s.spec.Occupies().CPUMilli) / 1000
}

// size moves instances between pools by demand.
func (c *Core) size(now time.Time) {}

func (c *Core) onMove(o MoveOrder, outcome DutyOutcome, now time.Time) {}
