package node

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
)

// lockedRand draws for one daemon. Its sequence follows from the daemon's name: daemons
// draw differently, and each the same in every run of a test.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand(node string) *lockedRand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // never fails
	return &lockedRand{rnd: rand.New(rand.NewPCG(h.Sum64(), 1))}
}

// durationBelow returns a duration below most.
func (c *lockedRand) durationBelow(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.Int64N(int64(most)))
}

// shuffle puts addresses in an order by chance.
func (c *lockedRand) shuffle(list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rnd.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// minCores counts for a daemon that says to have less of a processor, or nothing.
const minCores = 0.05

// relayWeight is how much a daemon can carry for others. Links are more unequal than
// processors: on the users' sheets 0.8 of a core comes with 200 Mbit/s, 0.19 with 10.
func relayWeight(m ledger.Member) float64 {
	cores := max(minCores, m.Cores)
	return cores * cores
}

// pickWeighted picks one of the daemons, each as likely as its weight says.
func (c *lockedRand) pickWeighted(list []ledger.Member) ledger.Member {
	sum := 0.0
	for _, m := range list {
		sum += relayWeight(m)
	}
	c.mu.Lock()
	at := c.rnd.Float64() * sum
	c.mu.Unlock()
	for _, m := range list {
		if at -= relayWeight(m); at < 0 {
			return m
		}
	}
	return list[len(list)-1]
}
