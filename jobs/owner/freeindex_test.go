package owner

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// randomWorkers returns workers of one service with random load, of two sizes and in four racks.
func randomWorkers(r *rand.Rand, n int, now time.Time) []*worker {
	out := make([]*worker, n)
	for i := range out {
		w := &worker{}
		w.Worker = WorkerID(fmt.Sprintf("w%05d", i))
		w.Service = "s"
		w.Rack = fmt.Sprint("r", r.IntN(4))
		w.Labels = []string{fmt.Sprint("k", r.IntN(2)), w.Rack}
		w.Capacity = job.Resources{CPUMilli: 16000 * (1 + r.IntN(2)), MemMB: 64000}
		w.allocated = job.Resources{CPUMilli: 1000 * r.IntN(17), MemMB: 1000 * r.IntN(65)}
		if r.IntN(5) == 0 {
			w.recentEnds.add(EndFailed, now)
			w.recentEnds.add(EndFailed, now)
		}
		out[i] = w
	}
	return out
}

// newIndex returns a free index of the workers.
func newIndex(workers []*worker) *freeIndex {
	x := &freeIndex{}
	for _, w := range workers {
		x.add(w)
	}
	return x
}

// placementViews returns the workers as the placement package sees them.
func placementViews(workers []*worker, now time.Time) []placement.Worker {
	out := make([]placement.Worker, len(workers))
	for i, w := range workers {
		out[i] = w.placementView(now)
	}
	return out
}

// TestFreeIndexChoosesLikeScan checks on random fleets and requests that the free index chooses
// the same worker as placement.Choose over all workers, and with a tie break one that is as good.
func TestFreeIndexChoosesLikeScan(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		workers := randomWorkers(r, 1+r.IntN(40), now)
		x, views := newIndex(workers), placementViews(workers, now)
		for range 20 {
			req := placement.Request{Need: job.Resources{CPUMilli: 1 + r.IntN(12000), MemMB: r.IntN(40000)}, MaxPerWorker: r.IntN(3)}
			if r.IntN(3) == 0 {
				req.PreferredRack = fmt.Sprint("r", r.IntN(5))
			}
			if r.IntN(3) == 0 {
				req.RequiredLabel = fmt.Sprint("k", r.IntN(3))
			}
			excluded, stepTasks := map[*worker]bool{}, map[*worker]int{}
			for i, w := range workers {
				excluded[w], stepTasks[w] = r.IntN(6) == 0, r.IntN(3)
				views[i].Excluded, views[i].SameStep = excluded[w], stepTasks[w]
			}
			want := (*worker)(nil)
			if i := placement.Choose(views, req); i >= 0 {
				want = workers[i]
			}
			allowed := func(w *worker) bool { return !excluded[w] }
			got := x.choose(&req, allowed, stepTasks, 0, now)
			assert.Same(t, want, got, "seed %d, %+v", seed, req)
			other := x.choose(&req, allowed, stepTasks, tieBreak(r.Uint64()), now)
			assert.True(t, areEquallyGood(want, other, req, now), "seed %d, %+v: %v instead of %v", seed, req, other, want)
		}
	}
}

// areEquallyGood reports whether placement prefers neither of the two workers, or there is none.
func areEquallyGood(a, b *worker, req placement.Request, now time.Time) bool {
	if a == nil || b == nil {
		return a == b
	}
	req.MaxPerWorker = 0 // the views hold no tasks of the step
	return placement.Choose(placementViews([]*worker{a, b}, now), req) == 0 && placement.Choose(placementViews([]*worker{b, a}, now), req) == 0
}

// BenchmarkChoose compares choosing by the free index with scanning all workers.
func BenchmarkChoose(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	req := placement.Request{Need: job.Resources{CPUMilli: 4500, MemMB: 16000}}
	for _, n := range []int{350, 3000} {
		workers := randomWorkers(rand.New(rand.NewPCG(1, 1)), n, now)
		x, views := newIndex(workers), placementViews(workers, now)
		b.Run("index/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				x.choose(&req, func(*worker) bool { return true }, nil, 0, now)
			}
		})
		b.Run("scan/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				placement.Choose(views, req)
			}
		})
	}
}
