package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestASlowWorkerIsPutAside: tasks take five times as long on it as on the others,
// and new ones go elsewhere; a fleet that is slow as a whole is left alone.
func TestASlowWorkerIsPutAside(t *testing.T) {
	for _, c := range []struct {
		name    string
		quick   time.Duration // of a task on the other workers
		avoided bool
	}{
		{"one of three", time.Second, true},
		{"all", 5 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			workers := []WorkerID{r.worker("a"), r.worker("b"), r.worker("c")}
			for _, id := range workers {
				r.held(id, nil)
			}
			r.submit(1, 24)
			starts := r.started()
			require.Len(t, starts, 24)
			ends := map[WorkerID][]End{}
			for _, s := range starts {
				ends[s.Worker] = append(ends[s.Worker], End{Number: uint64(len(ends[s.Worker]) + 1), Task: s.Task, Run: s.Run, Kind: EndDone})
			}
			r.now = r.now.Add(c.quick)
			r.held("b", nil, ends["b"]...)
			r.held("c", nil, ends["c"]...)
			r.now = r.now.Add(5*time.Second - c.quick)
			r.held("a", nil, ends["a"]...)
			assert.Equal(t, c.avoided, r.now.Before(r.core.workers["a"].avoidUntil))
		})
	}
}
