package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

func TestPreempt(t *testing.T) {
	whole := cores(8)
	for _, c := range []struct {
		name        string
		workers     []Worker
		preemptible [][]PreemptibleRun
		need        job.Resources
		want        Preemption
		ok          bool
	}{
		{
			name:        "the worker with the least lost work",
			workers:     []Worker{{Capacity: whole}, {Capacity: whole}},
			preemptible: [][]PreemptibleRun{{{cores(4), 9}}, {{cores(4), 2}}},
			need:        cores(4),
			want:        Preemption{1, []int{0}}, ok: true,
		},
		{
			name:        "no more runs than necessary",
			workers:     []Worker{{Capacity: whole, Free: cores(1)}},
			preemptible: [][]PreemptibleRun{{{cores(1), 0.1}, {cores(4), 4}, {cores(2), 3}}},
			need:        cores(5),
			want:        Preemption{0, []int{1}}, ok: true,
		},
		{
			name:        "doesn't fit even without all runs",
			workers:     []Worker{{Capacity: whole, Free: cores(1)}},
			preemptible: [][]PreemptibleRun{{{cores(2), 1}}},
			need:        cores(4),
		},
		{
			name:        "an excluded worker is not used",
			workers:     []Worker{{Capacity: whole, Excluded: true}},
			preemptible: [][]PreemptibleRun{{{cores(8), 1}}},
			need:        cores(4),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := Preempt(c.workers, c.preemptible, Request{Need: c.need})
			assert.Equal(t, c.ok, ok)
			if ok {
				assert.Equal(t, c.want, got)
			}
		})
	}
}
