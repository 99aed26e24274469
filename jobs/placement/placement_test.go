package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

func cores(n int) job.Resources { return job.Resources{CPUMilli: 1000 * n, MemMB: 1000 * n} }

// workers returns workers of 8 cores each, with the given numbers of free cores.
func workers(free ...int) []Worker {
	var out []Worker
	for _, f := range free {
		out = append(out, Worker{Capacity: cores(8), Free: cores(f)})
	}
	return out
}

func TestChoose(t *testing.T) {
	racks := workers(8, 8)
	racks[1].Rack = "r1"
	labels := workers(8, 8)
	labels[1].Labels = []string{"fast"}
	secondChoice := workers(2, 8)
	secondChoice[0].SecondChoice = true
	full := workers(8, 8)
	full[0].SameStep = 1
	shared := workers(8, 8)
	shared[0].Serving = 1
	due := workers(8, 4)
	due[0].MaintenanceDue, due[1].SameStep = true, 1
	for _, c := range []struct {
		name    string
		workers []Worker
		request Request
		want    int
	}{
		{"the fullest worker that fits", workers(8, 3, 1), Request{Need: cores(2)}, 1},
		{"no worker has enough cores", workers(1, 1), Request{Need: cores(2)}, -1},
		{"not enough memory", workers(4), Request{Need: job.Resources{CPUMilli: 100, MemMB: 5000}}, -1},
		{"the preferred rack", racks, Request{Need: cores(1), PreferredRack: "r1"}, 1},
		{"the required label", labels, Request{Need: cores(1), RequiredLabel: "fast"}, 1},
		{"no worker with the label", labels, Request{Need: cores(1), RequiredLabel: "gpu"}, -1},
		{"a worker of second choice last", secondChoice, Request{Need: cores(1)}, 1},
		{"a worker of second choice rather than none", secondChoice[:1], Request{Need: cores(1)}, 0},
		{"the limit of tasks of a step per worker", full, Request{Need: cores(1), MaxPerWorker: 1}, 1},
		{"long-running tasks spread for maintenance", full, Request{Need: cores(1), LongRunning: true, PreferredMaxPerWorker: 1}, 1},
		{"long-running tasks away from maintenance", due, Request{Need: cores(1), LongRunning: true, PreferredMaxPerWorker: 1}, 1},
		{"maintenance rather than no worker", due[:1], Request{Need: cores(1), LongRunning: true}, 0},
		{"other tasks without regard to maintenance", due, Request{Need: cores(5)}, 0},
		{"fillers away from serving tasks", shared, Request{Filler: true}, 1},
	} {
		assert.Equal(t, c.want, Choose(c.workers, c.request), c.name)
	}
}

func TestLongRunningTasksOfDifferentStepsShareWorkers(t *testing.T) {
	w := workers(8, 6)
	w[1].LongRunning = 1
	assert.Equal(t, 1, Choose(w, Request{Need: cores(1), LongRunning: true, PreferredMaxPerWorker: 1}))
}

func TestChooseGang(t *testing.T) {
	w := workers(4, 4, 2)
	w[0].Rack, w[1].Rack, w[2].Rack = "a", "b", "b"
	assert.Nil(t, ChooseGang(w, Request{Need: cores(4)}, 3, false), "all or none")
	assert.Len(t, ChooseGang(w, Request{Need: cores(2)}, 5, false), 5)
	assert.ElementsMatch(t, []int{1, 1, 2}, ChooseGang(w, Request{Need: cores(2)}, 3, true), "on one rack")
	assert.Len(t, ChooseGang(w, Request{Need: cores(2)}, 4, true), 4, "on several racks rather than not at all")
	assert.Equal(t, cores(4), w[0].Free, "the workers are not changed")
}

func TestFeasible(t *testing.T) {
	w := workers(0)
	assert.True(t, Feasible(&w[0], &Request{Need: cores(8)}))
	assert.False(t, Feasible(&w[0], &Request{Need: cores(9)}))
}

func TestUnplaceableNeedsCoverLargerNeeds(t *testing.T) {
	need := func(cpu, mem int) *Request { return &Request{Need: job.Resources{CPUMilli: cpu, MemMB: mem}} }
	var u UnplaceableNeeds
	assert.False(t, u.Covers(need(1, 1)))
	u.Add(need(4000, 100))
	assert.True(t, u.Covers(need(4000, 100)))
	assert.True(t, u.Covers(need(5000, 200)))
	assert.False(t, u.Covers(need(3999, 200)), "less CPU is needed")
	assert.False(t, u.Covers(need(5000, 99)), "less memory is needed")

	labelled := need(10, 10)
	labelled.RequiredLabel = "a"
	u.Add(labelled)
	assert.False(t, u.Covers(need(10, 10)), "a request without the label may still fit")
}
