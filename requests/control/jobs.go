package control

import (
	"context"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/placement"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

// taskTracker holds what the control goroutine knows about tasks on workers.
type taskTracker struct {
	reports  map[fleet.InstanceID]taskReport
	syncing  map[fleet.InstanceID]bool      // workers with a sync request in flight
	syncedAt map[fleet.InstanceID]time.Time // when the last sync request was started
	// failures counts the consecutive task failures on each worker.
	failures        map[fleet.InstanceID]int
	countedFailures map[taskKey]bool // failed attempts already counted
	// unansweredAt is when a sync request to a worker last failed. The tasks that it
	// was to start may be running, or may still be started.
	unansweredAt map[fleet.InstanceID]time.Time
}

type taskKey struct {
	pool    fleet.PoolName
	job     fleet.JobName
	attempt int
}

// taskReport is a worker's last answer to a sync request.
type taskReport struct {
	receivedAt time.Time
	sentAt     time.Time // when the sync request was sent
	tasks      []fleet.Task
}

func newTaskTracker() *taskTracker {
	return &taskTracker{
		reports:         map[fleet.InstanceID]taskReport{},
		syncing:         map[fleet.InstanceID]bool{},
		syncedAt:        map[fleet.InstanceID]time.Time{},
		failures:        map[fleet.InstanceID]int{},
		countedFailures: map[taskKey]bool{},
		unansweredAt:    map[fleet.InstanceID]time.Time{},
	}
}

// find returns the task of job j's current attempt, if the last report of worker id
// lists it.
func (tracker *taskTracker) find(id fleet.InstanceID, pool fleet.PoolName, j *fleet.Job) (fleet.Task, bool) {
	for _, t := range tracker.reports[id].tasks {
		if t.Pool == pool && t.Job == j.Name && t.Attempt == j.Attempt {
			return t, true
		}
	}
	return fleet.Task{}, false
}

// maxFailures is the number of failed attempts after which a job has failed.
const maxFailures = 5

// reconcileJobs reconciles the jobs of the pools that are assigned to this daemon.
func (r *round) reconcileJobs() {
	for _, name := range r.snap.State.SortedPools() {
		js, ok := r.snap.State.Jobs[name]
		if ok && len(js.Value.Jobs) > 0 && r.c.assignedToSelf("jobs/"+string(name)) {
			r.reconcilePoolJobs(name, js)
		}
	}
}

func (r *round) reconcilePoolJobs(name fleet.PoolName, js fleet.Versioned[fleet.JobSet]) {
	if r.mayWrite {
		next, changed := r.planJobs(name, js.Value)
		if changed {
			write(r.ctx, r.c, record.JobsKey(name), js, next)
		}
	}
	r.syncWorkers(name, js.Value)
}

// planJobs updates jobs from the workers' reports and places pending ones. It
// returns a changed copy of js and whether it differs.
func (r *round) planJobs(name fleet.PoolName, js *fleet.JobSet) (*fleet.JobSet, bool) {
	next := js.Clone()
	changed := false
	for i := range next.Jobs {
		if next.Jobs[i].State == fleet.JobPlaced {
			changed = r.observeJob(name, &next.Jobs[i]) || changed
		}
	}
	in := placement.Input{Now: r.now, Jobs: next.Jobs, Workers: r.placeWorkers(name, next), Teams: r.teamUsage(), Policy: r.c.opts.Place}
	weights := r.snap.State.Config.Value.Weights
	in.PreferTightFit = weights.Buffer > weights.RollOut && weights.Buffer > weights.Moves
	for _, d := range placement.Plan(in) {
		changed = r.applyDecision(next.Job(d.Job), d) || changed
	}
	return next, changed
}

// applyDecision updates a pending job by a placement decision and reports whether
// the job changed.
func (r *round) applyDecision(j *fleet.Job, d placement.Decision) bool {
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

// observeJob updates a placed job from its worker's report and reports whether the
// job changed.
func (r *round) observeJob(pool fleet.PoolName, j *fleet.Job) bool {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	switch {
	case known && t.State == fleet.TaskDone:
		r.c.tasks.failures[j.Worker] = 0
		j.State, j.Reason = fleet.JobDone, ""
		return true
	case known && t.State == fleet.TaskFailed:
		return r.handleFailedAttempt(pool, j)
	case known && r.mayStillRun(j.Worker):
		if j.LostAt.IsZero() {
			return false
		}
		j.LostAt = time.Time{}
		return true
	case known:
		return r.handleLostTask(j)
	default:
		return r.handleMissingTask(j)
	}
}

// mayStillRun reports whether the tasks that a worker last reported as running may still run by
// that report: within a lease of its arrival. Later, the worker may have ended with them.
func (r *round) mayStillRun(id fleet.InstanceID) bool {
	return r.now.Sub(r.c.tasks.reports[id].receivedAt) < r.c.opts.TaskLease
}

// handleFailedAttempt sets a job pending again, or failed after maxFailures failed
// attempts. It reports that the job changed.
func (r *round) handleFailedAttempt(pool fleet.PoolName, j *fleet.Job) bool {
	key := taskKey{pool, j.Name, j.Attempt}
	if !r.c.tasks.countedFailures[key] {
		r.c.tasks.countedFailures[key] = true
		r.c.tasks.failures[j.Worker]++
	}
	j.Failures++
	j.State, j.Reason = fleet.JobPending, "its last attempt failed on "+string(j.Worker)
	if j.Failures >= maxFailures {
		j.State = fleet.JobFailed
	}
	j.Worker = ""
	return true
}

// handleMissingTask handles a placed job that its worker does not report: it may not
// have been started yet, was stopped for a drain, or is lost with the worker. It
// reports whether the job changed.
//
// Invariant: a job is placed again only when its last attempt has stopped. Either
// the worker no longer reported it after it was told to stop it, at a time when no
// request to start it could still arrive; or the task's lease has expired, which
// stops the task on the worker.
func (r *round) handleMissingTask(j *fleet.Job) bool {
	rep, reported := r.c.tasks.reports[j.Worker]
	maybeStartedAt := j.PlacedAt
	if unanswered := r.c.tasks.unansweredAt[j.Worker]; unanswered.After(maybeStartedAt) {
		maybeStartedAt = unanswered
	}
	unusable := !r.usable(j.Worker)
	if unusable && reported && rep.sentAt.After(maybeStartedAt.Add(r.c.opts.TaskLease)) {
		j.State, j.Worker, j.Reason = fleet.JobPending, "", "its worker was drained"
		return true
	}
	return r.handleLostTask(j)
}

// handleLostTask handles a placed job of which nothing is known to run: it is placed again once
// the lease of its task must have expired. It reports whether the job changed.
func (r *round) handleLostTask(j *fleet.Job) bool {
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
func (r *round) usable(id fleet.InstanceID) bool {
	m := r.snap.State.Membership(id)
	if m == nil || !r.snap.Instances[id].Serving() {
		return false
	}
	return r.disruption(id) == nil
}

// disruption returns the disruption of an instance in whichever pool records it, or
// nil.
func (r *round) disruption(id fleet.InstanceID) *fleet.Disruption {
	for _, p := range r.snap.State.Pools {
		if d := p.Value.Disruption(id); d != nil {
			return d
		}
	}
	return nil
}

// usageMaxAge is the age up to which a worker's reported resource usage is used.
const usageMaxAge = 10 * time.Second

// placeWorkers returns the pool's members that the platform lists, as the input of
// the placement.
func (r *round) placeWorkers(name fleet.PoolName, js *fleet.JobSet) []placement.Worker {
	used := map[fleet.InstanceID]fleet.Resources{}
	for _, j := range js.Jobs {
		if j.State == fleet.JobPlaced {
			used[j.Worker] = used[j.Worker].Add(r.jobUsage(name, &j))
		}
	}
	waves := r.runningWaves(name)
	var out []placement.Worker
	for _, m := range r.members[name] {
		inst := r.snap.Instances[m.Instance]
		if inst.ID == "" {
			continue
		}
		out = append(out, placement.Worker{
			ID: inst.ID, Zone: inst.Zone, Rack: inst.Rack, Capacity: inst.Capacity,
			Used:                used[inst.ID],
			Usable:              !m.Joining && r.usable(inst.ID),
			Maintained:          r.maintainedByAll(name, waves, inst.ID),
			ConsecutiveFailures: r.c.tasks.failures[inst.ID],
		})
	}
	return out
}

// jobUsage returns the resources that a placed job uses: those that its worker
// observed if the report is recent enough, else those that the job declared.
func (r *round) jobUsage(pool fleet.PoolName, j *fleet.Job) fleet.Resources {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	rep := r.c.tasks.reports[j.Worker]
	if !known || t.Used == (fleet.Resources{}) || r.now.Sub(rep.receivedAt) > usageMaxAge {
		return j.Need
	}
	return t.Used
}

// runningWaves lists the waves over a pool that have not ended.
func (r *round) runningWaves(name fleet.PoolName) []fleet.WaveName {
	var out []fleet.WaveName
	for _, w := range r.snap.State.SortedWaves() {
		if v := r.snap.State.Waves[w].Value; !v.Ended() && v.Covers(name) {
			out = append(out, w)
		}
	}
	return out
}

// maintainedByAll reports whether every wave in waves has finished with an instance.
func (r *round) maintainedByAll(name fleet.PoolName, waves []fleet.WaveName, id fleet.InstanceID) bool {
	for _, w := range waves {
		if !r.snap.State.Pools[name].Value.MaintainedBy(w, id) {
			return false
		}
	}
	return true
}

// teamUsage sums the declared resources of each team's placed jobs over all pools.
func (r *round) teamUsage() map[string]placement.TeamUsage {
	out := map[string]placement.TeamUsage{}
	for _, t := range r.snap.State.Config.Value.Teams {
		out[t.Name] = placement.TeamUsage{Quota: t.Quota, HasQuota: true}
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

// syncWorkers sends a sync request to each worker that has tasks to start, keep or
// stop: after urgentSyncInterval if anything changes, else after
// routineSyncInterval, which is well before the leases expire.
func (r *round) syncWorkers(name fleet.PoolName, js *fleet.JobSet) {
	requests := map[fleet.InstanceID]*port.TaskSyncRequest{}
	urgent := map[fleet.InstanceID]bool{}
	for i := range js.Jobs {
		j := &js.Jobs[i]
		if j.Worker == "" {
			continue
		}
		s := requests[j.Worker]
		if s == nil {
			s = &port.TaskSyncRequest{Lease: r.c.opts.TaskLease, Checkpoint: true}
			requests[j.Worker] = s
		}
		if r.addToSync(name, j, s) {
			urgent[j.Worker] = true
		}
	}
	for id, s := range requests {
		r.syncWorker(id, *s, urgent[id])
	}
}

// addToSync adds a job to its worker's sync request and reports whether it is
// urgent.
func (r *round) addToSync(pool fleet.PoolName, j *fleet.Job, s *port.TaskSyncRequest) bool {
	t, known := r.c.tasks.find(j.Worker, pool, j)
	ref := port.TaskRef{Pool: pool, Job: j.Name, Attempt: j.Attempt}
	switch {
	case j.State == fleet.JobPlaced && !r.usable(j.Worker):
		s.Stop = append(s.Stop, ref)
		return true
	case j.State == fleet.JobPlaced && known && !j.LostAt.IsZero() && !r.mayStillRun(j.Worker):
		return false // its lease is left to expire, so that it can be placed again
	case j.State == fleet.JobPlaced && known:
		s.Keep = append(s.Keep, ref)
		return t.State != fleet.TaskRunning
	case j.State == fleet.JobPlaced && j.LostAt.IsZero():
		s.Start = append(s.Start, port.TaskStart{Pool: pool, Job: j.Name, Attempt: j.Attempt, Need: j.Need, RunFor: j.RunFor})
		return true
	case j.State == fleet.JobCancelled && known && t.State == fleet.TaskRunning && r.mayStillRun(j.Worker):
		s.Stop = append(s.Stop, ref)
		return true
	default:
		return false
	}
}

// Minimum time between the starts of two sync requests to one worker.
const (
	urgentSyncInterval  = 100 * time.Millisecond
	routineSyncInterval = 700 * time.Millisecond
)

// syncWorker sends a sync request to one worker, unless it is empty, another one is
// in flight or the last one is too recent.
func (r *round) syncWorker(id fleet.InstanceID, s port.TaskSyncRequest, urgent bool) {
	tracker := r.c.tasks
	interval := routineSyncInterval
	if urgent {
		interval = urgentSyncInterval
	}
	inst, listed := r.snap.Instances[id]
	if !listed || tracker.syncing[id] || r.now.Sub(tracker.syncedAt[id]) < interval {
		return
	}
	if len(s.Start)+len(s.Keep)+len(s.Stop) == 0 {
		return
	}
	tracker.syncing[id] = true
	tracker.syncedAt[id] = r.now
	r.c.background(func() { r.c.syncTasks(r.ctx, id, inst.Addr, s) })
}

// syncTasks sends a sync request and records the worker's report, or that the
// request was not answered.
func (c *Controller) syncTasks(ctx context.Context, id fleet.InstanceID, addr string, s port.TaskSyncRequest) {
	c.Counters.TaskSyncs.Add(1)
	sentAt := time.Now()
	tasks, err := c.deps.Tasks.Sync(ctx, addr, s)
	if err != nil {
		c.Counters.TaskErrors.Add(1)
	}
	c.postToLoop(func() {
		delete(c.tasks.syncing, id)
		if err != nil {
			c.tasks.unansweredAt[id] = time.Now()
		} else {
			c.tasks.reports[id] = taskReport{receivedAt: time.Now(), sentAt: sentAt, tasks: tasks}
		}
	})
}
