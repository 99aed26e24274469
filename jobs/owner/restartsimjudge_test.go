package owner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// twiceJudge judges by what the workers do that no task runs twice: not at the same time, and not after
// a run has ended as done if that end is taken note of, even later.
type twiceJudge struct {
	active map[job.TaskID][]*simRun
	done   map[job.TaskID][]*simEnd
	starts map[job.TaskID][]*simRun
	broken []twiceFinding
}

type twiceFinding struct {
	task        job.TaskID
	what        string
	misdirected bool // by a start for another incarnation
}

func newTwiceJudge() *twiceJudge {
	return &twiceJudge{active: map[job.TaskID][]*simRun{}, done: map[job.TaskID][]*simEnd{}, starts: map[job.TaskID][]*simRun{}}
}

func (t *twiceJudge) started(r *simRun) {
	for _, o := range t.active[r.task] {
		t.broken = append(t.broken, twiceFinding{r.task, fmt.Sprintf("run %d on %s starts while run %d is active on %s", r.number, r.inc.worker.id, o.number, o.inc.worker.id), r.misdirected || o.misdirected})
	}
	t.active[r.task] = append(t.active[r.task], r)
	t.starts[r.task] = append(t.starts[r.task], r)
}

func (t *twiceJudge) ended(r *simRun, e *simEnd) {
	t.killed(r)
	if e.Kind == EndDone {
		t.done[r.task] = append(t.done[r.task], e)
	}
}

// killed removes a run that has ended without a list entry, or with one.
func (t *twiceJudge) killed(r *simRun) {
	t.active[r.task] = slices.DeleteFunc(t.active[r.task], func(o *simRun) bool { return o == r })
}

// findings returns all breaches, at the end of the simulation.
func (t *twiceJudge) findings() []twiceFinding {
	out := t.broken
	for task, ends := range t.done {
		for _, e := range ends {
			for _, r := range t.starts[task] {
				if !e.noted.IsZero() && !e.lapsed && !r.startedAt.Before(e.at) {
					out = append(out, twiceFinding{task, fmt.Sprintf("run %d on %s starts after run %d has ended as done, which is taken note of", r.number, r.inc.worker.id, e.Run), r.misdirected})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b twiceFinding) int { return cmp.Compare(a.task.String(), b.task.String()) })
	return out
}
