package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWaitingTasksGoBeforeCopies checks that a slow task gets no copy while another task waits
// for capacity.
func TestWaitingTasksGoBeforeCopies(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	slow := simpleJob(1, 1)
	slow.Steps[0].Speculative = true
	r.core.Submit(slow, r.now)
	r.core.React(r.now)
	r.collectEffects()
	first := r.confirmStarts()
	require.Len(t, first, 1)

	other := b
	if first[0].Worker == b {
		other = a
	}
	filling := simpleJob(2, 15) // the remaining 15 of 16 cores
	r.core.Submit(filling, r.now)
	r.core.React(r.now)
	r.collectEffects()
	running := r.confirmStarts()
	require.Len(t, running, 15)
	waiting := simpleJob(3, 1)
	waiting.Steps[0].Need.CPUMilli = 8000 // needs an empty worker
	r.core.Submit(waiting, r.now)
	r.core.React(r.now)
	r.collectEffects()
	require.Empty(t, r.confirmStarts())

	all := append(first, running...)
	on := func(id WorkerID, without Start, percent int) (out []ActiveRun) {
		for _, s := range all {
			if s.Worker == id && s.Run != without.Run {
				out = append(out, ActiveRun{Task: s.Task, Run: s.Run, Percent: percent})
			}
		}
		return out
	}
	for i := range 50 { // 5 s: the first task is slow, but no task stalls
		r.tick(100 * time.Millisecond)
		r.answerHold(a, on(a, Start{}, 10+i))
		r.answerHold(b, on(b, Start{}, 10+i))
	}
	var ended Start
	for _, s := range running {
		if s.Worker == other {
			ended = s
		}
	}
	r.answerHold(other, on(other, ended, 90), RunEnd{Seq: 1, Task: ended.Task, Run: ended.Run, Kind: EndDone})
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.confirmStarts(), "one core is free, but a task waits for eight")
}
