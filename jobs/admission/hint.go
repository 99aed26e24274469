package admission

import (
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// Hint tells a daemon for which jobs it has to ask the owner before it accepts them. The zero value
// says that it has to ask for none.
type Hint struct {
	OrdersWait   bool     // start orders wait to be sent
	MemoryScarce bool     // open jobs take much of the memory that they may take
	Congested    []string // services whose pools are congested
	// Largest is the largest amount of each resource that an instance has; zero: not known.
	Largest job.Resources
}

// MustAsk reports whether the owner may refuse the job.
func (h *Hint) MustAsk(j *job.Job) bool {
	if h.Largest != (job.Resources{}) && slices.ContainsFunc(j.Steps, func(s job.Step) bool { return !h.Largest.Fits(s.ReservedResources()) }) {
		return true
	}
	return h.OrdersWait || h.MemoryScarce || slices.Contains(h.Congested, j.Service)
}
