package node

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
)

// lockedRand is a random number generator for concurrent use. It is seeded with the daemon's name,
// so that daemons differ and each gets the same numbers in every run of a test.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand(node string) *lockedRand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // never fails
	return &lockedRand{rnd: rand.New(rand.NewPCG(h.Sum64(), 1))}
}

// durationBelow returns a random duration in [0, limit).
func (r *lockedRand) durationBelow(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rnd.Int64N(int64(limit)))
}

// shuffle puts addresses in random order.
func (r *lockedRand) shuffle(list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rnd.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// minCores is the CPU assumed for a daemon that reports less, or none.
const minCores = 0.05

// relayWeight estimates a daemon's capacity as a relay. Its bandwidth grows faster than its CPU, so
// the weight is the square of its cores: in the users' specification sheets a daemon with 0.8 cores
// has 200 Mbit/s, one with 0.19 cores 10 Mbit/s.
func relayWeight(m ledger.Member) float64 {
	cores := max(minCores, m.Cores)
	return cores * cores
}

// pickWeighted returns a random daemon with a probability proportional to its relayWeight.
func (r *lockedRand) pickWeighted(list []ledger.Member) ledger.Member {
	sum := 0.0
	for _, m := range list {
		sum += relayWeight(m)
	}
	r.mu.Lock()
	point := r.rnd.Float64() * sum
	r.mu.Unlock()
	for _, m := range list {
		if point -= relayWeight(m); point < 0 {
			return m
		}
	}
	return list[len(list)-1]
}
