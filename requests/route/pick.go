package route

import (
	"math/rand/v2"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Policy selects how a worker is picked.
type Policy string

// Policies. Random is the baseline that the measurements compare with.
const (
	PolicyLeastLoaded Policy = "least-loaded" // own zone first, then least used
	PolicyRandom      Policy = "random"
)

// Candidate is one worker that may take a request now.
type Candidate struct {
	Worker   fleet.InstanceID
	Zone     fleet.AvailabilityZone
	Free     int // slots this daemon may still use, at least 1
	Capacity int // slots this daemon may use in all
	Probe    bool
	// Latency is how long the worker's requests lately took; 0 if unknown.
	Latency time.Duration
}

// maxLocalZoneUse is the share of used slots above which the own zone is no longer
// preferred, so that preference never overloads a zone.
const maxLocalZoneUse = 0.8

// localLoadFactor is how many times as loaded a worker of the own zone may be to be
// preferred all the same.
const localLoadFactor = 8

// Pick chooses among the candidates; it returns false if there are none. A
// worker that is due for a probe goes first, so that it is tried at all.
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
	if local := inZone(candidates, zone); len(local) > 0 && usedShare(local) < maxLocalZoneUse {
		if near := leastLoaded(local, rnd); load(near) <= localLoadFactor*load(best) {
			best = near
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

func usedShare(candidates []Candidate) float64 {
	free, capacity := 0, 0
	for _, c := range candidates {
		free += c.Free
		capacity += c.Capacity
	}
	return 1 - float64(free)/float64(max(capacity, 1))
}

// minLatency keeps small differences from outweighing the slots in use.
const minLatency = 20 * time.Millisecond

// leastLoaded returns the candidate with the lowest load, starting at a random
// one so that ties spread.
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

// load is the expected cost of one more request: the share of slots then in
// use, times how long each holds one.
func load(c Candidate) float64 {
	share := float64(c.Capacity-c.Free+1) / float64(max(c.Capacity, 1))
	return share * max(c.Latency, minLatency).Seconds()
}
