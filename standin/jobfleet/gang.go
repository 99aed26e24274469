package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// gangWait is how long a member of a gang waits for the others, whose starts may be lost.
const gangWait = time.Second

// joinGang lets a member of a gang wait for the others. The work begins once all have arrived, and takes as
// long as the slowest member: if one hangs, all do.
func (f *Fleet) joinGang(w *worker, e *execution, spec *job.Step) {
	f.endAfter(w, e, gangWait, owner.EndGangIncomplete)
	members, longest := 0, time.Duration(0)
	f.eachOfGang(e, func(_ *worker, m *execution) {
		members++
		longest = max(longest, m.duration)
	})
	if members < spec.Count {
		return
	}
	f.eachOfGang(e, func(w *worker, m *execution) {
		m.timer.Stop()
		m.duration = longest
		f.endAfter(w, m, longest, m.endKind)
	})
}

// eachOfGang calls do for all running members of the gang that an execution belongs to.
func (f *Fleet) eachOfGang(of *execution, do func(*worker, *execution)) {
	for _, w := range f.workers {
		if w.dead {
			continue
		}
		for _, e := range w.active {
			if e.run == of.run && e.task.Job == of.task.Job && e.task.Occurrence == of.task.Occurrence && e.task.Step == of.task.Step {
				do(w, e)
			}
		}
	}
}

// endGang ends the other members of a gang, which run only together, after one has ended.
func (f *Fleet) endGang(ended *execution, kind owner.EndKind) {
	if step := f.stepOf(ended.task); step == nil || !step.Gang {
		return
	}
	f.eachOfGang(ended, func(w *worker, e *execution) {
		if e != ended {
			f.end(w, e, kind)
		}
	})
}
