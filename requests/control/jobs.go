package control

import (
	"context"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/place"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

// taskBoard is what the control goroutine knows of tasks on workers.
type taskBoard struct {
	reports  map[fleet.InstanceID]taskReport
	busy     map[fleet.InstanceID]bool
	syncedAt map[fleet.InstanceID]time.Time
	// failures counts tasks that failed on a worker in a row.
	failures map[fleet.InstanceID]int
	counted  map[taskKey]bool // failed attempts already counted
	// unsureAt is when a round with a worker last got no answer: what it
	// started may be running, or may yet be started.
	unsureAt map[fleet.InstanceID]time.Time
}

type taskKey struct {
	pool    fleet.PoolName
	job     fleet.JobName
	attempt int
}

// taskReport is a worker's last word on its tasks.
type taskReport struct {
	at    time.Time
	asked time.Time
	tasks []fleet.Task
}

func newTaskBoard() *taskBoard {
	return &taskBoard{
		reports:  map[fleet.InstanceID]taskReport{},
		busy:     map[fleet.InstanceID]bool{},
		syncedAt: map[fleet.InstanceID]time.Time{},
		failures: map[fleet.InstanceID]int{},
		counted:  map[taskKey]bool{},
		unsureAt: map[fleet.InstanceID]time.Time{},
	}
}

func (b *taskBoard) find(id fleet.InstanceID, pool fleet.PoolName, j *fleet.Job) (fleet.Task, bool) {
	for _, t := range b.reports[id].tasks {
		if t.Pool == pool && t.Job == j.Name && t.Attempt == j.Attempt {
			return t, true
		}
	}
	return fleet.Task{}, false
}

// maxAttempts bounds how often a job that ends badly is tried.
const maxAttempts = 5

// jobs reconciles the jobs of every pool this daemon tries for.
func (r *roundState) jobs() {
	for _, name := range r.snap.State.SortedPools() {
		js, ok := r.snap.State.Jobs[name]
		if ok && len(js.Value.Jobs) > 0 && r.c.mine("jobs/"+string(name)) {
			r.poolJobs(name, js)
		}
	}
}

func (r *roundState) poolJobs(name fleet.PoolName, js fleet.Versioned[fleet.JobSet]) {
	if r.mayWrite {
		next, changed := r.planJobs(name, js.Value)
		if changed {
			write(r.ctx, r.c, record.JobsKey(name), js, next)
		}
	}
	r.syncWorkers(name, js.Value)
}

// planJobs takes in what workers reported and places pending jobs.
func (r *roundState) planJobs(name fleet.PoolName, js *fleet.JobSet) (*fleet.JobSet, bool) {
	next := js.Clone()
	changed := false
	for i := range next.Jobs {
		if next.Jobs[i].State == fleet.JobPlaced {
			changed = r.observeJob(name, &next.Jobs[i]) || changed
		}
	}
	in := place.Input{Now: r.now, Jobs: next.Jobs, Workers: r.placeWorkers(name, next), Teams: r.teams(), Policy: r.c.opts.Place}
	weights := r.snap.State.Config.Value.Weights
	in.PreferTightFit = weights.Buffer > weights.RollOut && weights.Buffer > weights.Moves
	for _, d := range place.Plan(in) {
		changed = r.applyDecision(next.Job(d.Job), d) || changed
	}
	return next, changed
}

func (r *roundState) applyDecision(j *fleet.Job, d place.Decision) bool {
	if d.State == fleet.JobPending && j.Reason == d.Reason {
		return false
	}
	j.Reason = d.Reason
	j.State = d.State
	if d.State == fleet.JobPlaced {
		j.Worker = d.Worker
		j.Attempt++
		j.PlacedAt = r.now
		j.LostAt = time.Time{}
	}
	return true
}

// observeJob moves a placed job on from what its worker reports.
func (r *roundState) observeJob(pool fleet.PoolName, j *fleet.Job) bool {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	switch {
	case known && t.State == fleet.TaskDone:
		r.c.tasks.failures[j.Worker] = 0
		j.State, j.Reason = fleet.JobDone, ""
		return true
	case known && t.State == fleet.TaskFailed:
		return r.jobFailed(pool, j)
	case known:
		if j.LostAt.IsZero() {
			return false
		}
		j.LostAt = time.Time{}
		return true
	default:
		return r.jobMissing(j)
	}
}

func (r *roundState) jobFailed(pool fleet.PoolName, j *fleet.Job) bool {
	key := taskKey{pool, j.Name, j.Attempt}
	if !r.c.tasks.counted[key] {
		r.c.tasks.counted[key] = true
		r.c.tasks.failures[j.Worker]++
	}
	j.Failures++
	j.State, j.Reason = fleet.JobPending, "its last attempt failed on "+string(j.Worker)
	if j.Failures >= maxAttempts {
		j.State = fleet.JobFailed
	}
	j.Worker = ""
	return true
}

// jobMissing handles a placed job that its worker does not report: it may not
// have been started yet, was stopped for a drain, or is lost with the worker.
//
// Invariant: a job is placed anew only when its last attempt does not run.
// Reason: the worker said so after it was asked to stop, at a time when no start
// of the attempt could still be under way; or the task's lease has lapsed, which
// stops the task on the worker.
func (r *roundState) jobMissing(j *fleet.Job) bool {
	rep, reported := r.c.tasks.reports[j.Worker]
	settled := j.PlacedAt
	if unsure := r.c.tasks.unsureAt[j.Worker]; unsure.After(settled) {
		settled = unsure
	}
	leaving := !r.usable(j.Worker)
	if leaving && reported && rep.asked.After(settled.Add(r.c.opts.TaskLease)) {
		j.State, j.Worker, j.Reason = fleet.JobPending, "", "its worker was drained"
		return true
	}
	if j.LostAt.IsZero() {
		if r.now.Sub(j.PlacedAt) < r.c.opts.TaskLease {
			return false
		}
		j.LostAt = r.now
		return true
	}
	if r.now.Sub(j.LostAt) < 2*r.c.opts.TaskLease {
		return false
	}
	j.State, j.Worker, j.Reason = fleet.JobPending, "", "its worker was lost"
	return true
}

// usable reports whether a worker may get and keep tasks.
func (r *roundState) usable(id fleet.InstanceID) bool {
	m := r.snap.State.Membership(id)
	if m == nil || !r.snap.Instances[id].Serving() {
		return false
	}
	return r.disruption(id) == nil
}

func (r *roundState) disruption(id fleet.InstanceID) *fleet.Disruption {
	for _, p := range r.snap.State.Pools {
		if d := p.Value.Disruption(id); d != nil {
			return d
		}
	}
	return nil
}

// usageMaxAge is how old a worker's report may be to count as fresh.
const usageMaxAge = 10 * time.Second

func (r *roundState) placeWorkers(name fleet.PoolName, js *fleet.JobSet) []place.Worker {
	declared := map[fleet.InstanceID]fleet.Resources{}
	for _, j := range js.Jobs {
		if j.State == fleet.JobPlaced {
			declared[j.Worker] = declared[j.Worker].Add(r.useOf(name, &j))
		}
	}
	waves := r.runningWaves(name)
	var out []place.Worker
	for _, m := range r.members[name] {
		inst := r.snap.Instances[m.Instance]
		if inst.ID == "" {
			continue
		}
		out = append(out, place.Worker{
			ID: inst.ID, Zone: inst.Zone, Rack: inst.Rack, Capacity: inst.Capacity,
			Used:                declared[inst.ID],
			Usable:              !m.Joining && r.usable(inst.ID),
			Maintained:          r.maintained(name, waves, inst.ID),
			ConsecutiveFailures: r.c.tasks.failures[inst.ID],
		})
	}
	return out
}

// useOf returns what a placed job uses: as its worker observed it while that
// report is fresh, as declared otherwise.
func (r *roundState) useOf(pool fleet.PoolName, j *fleet.Job) fleet.Resources {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	rep := r.c.tasks.reports[j.Worker]
	if !known || t.Used == (fleet.Resources{}) || r.now.Sub(rep.at) > usageMaxAge {
		return j.Need
	}
	return t.Used
}

func (r *roundState) runningWaves(name fleet.PoolName) []fleet.WaveName {
	var out []fleet.WaveName
	for _, w := range r.snap.State.SortedWaves() {
		if v := r.snap.State.Waves[w].Value; !v.Ended() && v.Covers(name) {
			out = append(out, w)
		}
	}
	return out
}

func (r *roundState) maintained(name fleet.PoolName, waves []fleet.WaveName, id fleet.InstanceID) bool {
	for _, w := range waves {
		if !r.snap.State.Pools[name].Value.MaintainedBy(w, id) {
			return false
		}
	}
	return true
}

// teams adds up what each team uses in all pools.
func (r *roundState) teams() map[string]place.TeamUsage {
	out := map[string]place.TeamUsage{}
	for _, t := range r.snap.State.Config.Value.Teams {
		out[t.Name] = place.TeamUsage{Quota: t.Quota, HasQuota: true}
	}
	for _, js := range r.snap.State.Jobs {
		for _, j := range js.Value.Jobs {
			if j.State == fleet.JobPlaced {
				t := out[j.Team]
				t.Used = t.Used.Add(j.Need)
				out[j.Team] = t
			}
		}
	}
	return out
}

// syncWorkers has one round with each worker that has something to start, keep
// or stop. A round is due at once for something new, else well before the
// leases lapse.
func (r *roundState) syncWorkers(name fleet.PoolName, js *fleet.JobSet) {
	rounds := map[fleet.InstanceID]*port.TaskSyncRequest{}
	urgent := map[fleet.InstanceID]bool{}
	for i := range js.Jobs {
		j := &js.Jobs[i]
		if j.Worker == "" {
			continue
		}
		s := rounds[j.Worker]
		if s == nil {
			s = &port.TaskSyncRequest{Lease: r.c.opts.TaskLease, Checkpoint: true}
			rounds[j.Worker] = s
		}
		if r.addJob(name, j, s) {
			urgent[j.Worker] = true
		}
	}
	for id, s := range rounds {
		r.syncWorker(id, *s, urgent[id])
	}
}

// addJob puts a job into its worker's round and reports whether that is urgent.
func (r *roundState) addJob(pool fleet.PoolName, j *fleet.Job, s *port.TaskSyncRequest) bool {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	ref := port.TaskRef{Pool: pool, Job: j.Name, Attempt: j.Attempt}
	switch {
	case j.State == fleet.JobPlaced && !r.usable(j.Worker):
		s.Stop = append(s.Stop, ref)
		return true
	case j.State == fleet.JobPlaced && known:
		s.Keep = append(s.Keep, ref)
		return t.State != fleet.TaskRunning
	case j.State == fleet.JobPlaced && j.LostAt.IsZero():
		s.Start = append(s.Start, port.TaskStart{Pool: pool, Job: j.Name, Attempt: j.Attempt, Need: j.Need, RunFor: j.RunFor})
		return true
	case j.State == fleet.JobCancelled && known && t.State == fleet.TaskRunning:
		s.Stop = append(s.Stop, ref)
		return true
	default:
		return false
	}
}

// Pauses between rounds with one worker.
const (
	urgentRound = 100 * time.Millisecond
	quietRound  = 700 * time.Millisecond
)

func (r *roundState) syncWorker(id fleet.InstanceID, s port.TaskSyncRequest, urgent bool) {
	b := r.c.tasks
	due := quietRound
	if urgent {
		due = urgentRound
	}
	inst, listed := r.snap.Instances[id]
	if !listed || b.busy[id] || r.now.Sub(b.syncedAt[id]) < due {
		return
	}
	if len(s.Start)+len(s.Keep)+len(s.Stop) == 0 {
		return
	}
	b.busy[id] = true
	b.syncedAt[id] = r.now
	r.c.background(func() { r.c.syncTasks(r.ctx, id, inst.Addr, s) })
}

func (c *Controller) syncTasks(ctx context.Context, id fleet.InstanceID, addr string, s port.TaskSyncRequest) {
	c.Counters.TaskSyncs.Add(1)
	asked := time.Now()
	tasks, err := c.deps.Tasks.Sync(ctx, addr, s)
	if err != nil {
		c.Counters.TaskErrors.Add(1)
	}
	c.post(func() {
		delete(c.tasks.busy, id)
		if err != nil {
			c.tasks.unsureAt[id] = time.Now()
		} else {
			c.tasks.reports[id] = taskReport{at: time.Now(), asked: asked, tasks: tasks}
		}
	})
}
