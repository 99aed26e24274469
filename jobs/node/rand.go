package node

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
)

// lockedRand is a random generator for concurrent use. It is seeded with the daemon's name, so
// that daemons differ and each draws the same in every run of a test.
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
func (c *lockedRand) durationBelow(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

// shuffle puts addresses in random order.
func (c *lockedRand) shuffle(list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rnd.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// minCores is the CPU assumed for a daemon that reports less, or none.
const minCores = 0.05

// relayWeight estimates a daemon's capacity as a relay. Link bandwidth grows faster than CPU,
// so the weight is the square of the cores: in the users' specification sheets 0.8 cores
// come with 200 Mbit/s, 0.19 cores with 10 Mbit/s.
func relayWeight(m ledger.Member) float64 {
	cores := max(minCores, m.Cores)
	return cores * cores
}

// pickWeighted returns a random daemon with a probability proportional to its relayWeight.
func (c *lockedRand) pickWeighted(list []ledger.Member) ledger.Member {
	sum := 0.0
	for _, m := range list {
		sum += relayWeight(m)
	}
	c.mu.Lock()
	point := c.rnd.Float64() * sum
	c.mu.Unlock()
	for _, m := range list {
		if point -= relayWeight(m); point < 0 {
			return m
		}
	}
	return list[len(list)-1]
}
