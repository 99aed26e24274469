package route

import (
	"math/rand/v2"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Policy selects how a worker is chosen for a request.
type Policy string

// Policies. PolicyRandom is the baseline for performance comparisons.
const (
	PolicyLeastLoaded Policy = "least-loaded" // local zone preferred, then lowest load
	PolicyRandom      Policy = "random"
)

// Candidate is a worker with a free slot.
type Candidate struct {
	Worker   fleet.InstanceID
	Zone     fleet.AvailabilityZone
	Free     int  // free slots of this daemon, at least 1
	Capacity int  // slots this daemon may use in total
	Probe    bool // ejected worker that is due for a probe
	// Latency is the worker's recent average latency, 0 if unknown.
	Latency time.Duration
}

// maxLocalZoneUse is the share of slots in use, from 0 to 1, at which the local zone
// is no longer preferred, so that the preference doesn't overload a zone.
const maxLocalZoneUse = 0.8

// localLoadFactor limits the preference for the local zone: its least loaded worker
// is chosen if its load is at most this many times the lowest load of all candidates.
const localLoadFactor = 8

// Pick chooses one of the candidates; it returns false if there are none. Under
// PolicyLeastLoaded a worker due for a probe goes first, as it would rarely be
// chosen by load.
func Pick(candidates []Candidate, zone fleet.AvailabilityZone, rnd *rand.Rand, policy Policy) (fleet.InstanceID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	if policy == PolicyRandom {
		return candidates[rnd.IntN(len(candidates))].Worker, true
	}
	for _, c := range candidates {
		if c.Probe {
			return c.Worker, true
		}
	}
	best := leastLoaded(candidates, rnd)
	if local := inZone(candidates, zone); len(local) > 0 && shareInUse(local) < maxLocalZoneUse {
		if bestLocal := leastLoaded(local, rnd); load(bestLocal) <= localLoadFactor*load(best) {
			best = bestLocal
		}
	}
	return best.Worker, true
}

func inZone(candidates []Candidate, zone fleet.AvailabilityZone) []Candidate {
	var out []Candidate
	for _, c := range candidates {
		if c.Zone == zone {
			out = append(out, c)
		}
	}
	return out
}

// shareInUse returns the share of the candidates' slots that are in use.
func shareInUse(candidates []Candidate) float64 {
	free, capacity := 0, 0
	for _, c := range candidates {
		free += c.Free
		capacity += c.Capacity
	}
	return 1 - float64(free)/float64(max(capacity, 1))
}

// minLatency is the lower bound of the latency used in load, so that small
// latency differences don't outweigh slot use.
const minLatency = 20 * time.Millisecond

// leastLoaded returns the candidate with the lowest load. It starts at a random
// candidate so that ties are spread.
func leastLoaded(candidates []Candidate, rnd *rand.Rand) Candidate {
	start := rnd.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if load(c) < load(best) {
			best = c
		}
	}
	return best
}

// load is the expected cost of one more request: the share of slots in use
// including it, times the latency.
func load(c Candidate) float64 {
	share := float64(c.Capacity-c.Free+1) / float64(max(c.Capacity, 1))
	return share * max(c.Latency, minLatency).Seconds()
}
