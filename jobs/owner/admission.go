package owner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
)

// admissionInterval is the interval between two snapshots of congested pools. It is short compared with
// the time that hints may be out of date, and a snapshot visits all open jobs.
const admissionInterval = 200 * time.Millisecond

// defaultMoveDuration is the expected duration of a move until one was seen. It is that of a short
// move, as a job refused for an instance that arrives earlier than expected is refused needlessly.
const defaultMoveDuration = time.Second

// admissionState is what the owner keeps to decide on new jobs.
type admissionState struct {
	controllers  map[string]*admission.Controller // by service
	nextUpdateAt time.Time
	moveDuration time.Duration // moving average; 0: no move was seen
}

// Admit decides whether to accept a job that is not in the store.
func (c *Core) Admit(spec *job.Job, now time.Time) admission.Decision {
	d := c.decideAdmission(spec, now)
	if d.Reason != admission.NotRefused {
		c.counts.RefusedJobs++
	}
	return d
}

func (c *Core) decideAdmission(spec *job.Job, now time.Time) admission.Decision {
	policy := c.opt.AdmissionPolicy
	if len(spec.Steps) == 0 || c.catalog == nil || c.jobs[spec.ID] != nil {
		return admission.Decision{}
	}
	if d := c.refuseByMemory(spec, now); d.Reason != admission.NotRefused {
		return d
	}
	if policy.RefusesImpossible() && c.exceedsEveryInstance(spec) {
		return admission.Decision{Reason: admission.NoInstanceFits}
	}
	if spec.Repeat > 0 || spec.Steps[0].LongRunning {
		return admission.Decision{}
	}
	if policy.RefusesByStartOrders() {
		if late := c.ExpectedLateness(spec, now); late > 0 {
			return admission.Decision{Reason: admission.OrdersWait, LateBy: late, RetryAfter: late}
		}
	}
	if !c.refusesByPool() {
		return admission.Decision{}
	}
	return c.decideByPool(spec, now)
}

// refusesByPool reports whether jobs are refused because their pool is full. This is for fleets
// that tenants share: their configuration has shares, by which it is fair who is refused first.
func (c *Core) refusesByPool() bool {
	return c.opt.AdmissionPolicy.RefusesByPool() && c.shares.Configured()
}

// decideByPool decides whether the job's pool can start it in time.
func (c *Core) decideByPool(spec *job.Job, now time.Time) admission.Decision {
	ctl := c.admission.controllers[c.unacceptedJob(spec, now).service]
	if ctl == nil || !ctl.IsCongested() {
		return admission.Decision{}
	}
	j := c.unacceptedJob(spec, ctl.FirstAttempt(string(spec.ID), now))
	j.overShare = c.shares.IsExceeded(spec.Tenant, now)
	e := c.queueEntryOf(j, now)
	factor := c.pool(j.service).estimateRatio.factor()
	rank := e.rank()
	// Large jobs are placed last, so that nearly all of them would be refused. They are treated
	// like a mean one.
	rank.Work = min(rank.Work, c.pool(j.service).arrivalRate.MeanWork())
	returned := ctl.WasRefused(string(spec.ID))
	d := ctl.Decide(admission.Job{ID: string(spec.ID), Rank: rank, Work: j.work * factor, Cores: firstStepCores(spec), Slack: e.slack}, now)
	if d.Reason != admission.NotRefused && !returned {
		c.recordArrival(j, now, now) // refused work is demand, otherwise the pool would not grow for it
	}
	return d
}

// settleRefusal notes that a job was accepted, and reports whether it was refused before, so that it
// is counted as an arrival.
func (c *Core) settleRefusal(j *jobState) bool {
	ctl := c.admission.controllers[j.service]
	return ctl != nil && ctl.SettleRefusal(string(j.spec.ID))
}

// unacceptedJob returns the state of a job that is not accepted, as if it were accepted at the given
// time.
func (c *Core) unacceptedJob(spec *job.Job, acceptedAt time.Time) *jobState {
	accepted := *spec
	accepted.AcceptedAt = acceptedAt
	j := &jobState{spec: &accepted}
	j.applyQueueSettings(c.catalog)
	j.criticalPath, j.work = estimateCriticalPathAndWork(spec)
	j.criticalPathLeft, j.workLeft = j.criticalPath, j.work
	return j
}

// firstStepCores returns the cores that the tasks of the first step need.
func firstStepCores(spec *job.Job) float64 {
	s := &spec.Steps[0]
	return float64(s.Count) * float64(s.ReservedResources().CPUMilli) / 1000
}

// rank returns the entry's position in the order of placement for package admission.
func (e *queueEntry) rank() admission.Rank {
	return admission.Rank{Band: int(e.band), Priority: e.priority, Work: e.remainingWork}
}

// exceedsEveryInstance reports whether a task of the job needs more than any instance of the fleet
// has at full size. Instances of other pools count, as they may be moved.
func (c *Core) exceedsEveryInstance(spec *job.Job) bool {
	return slices.ContainsFunc(spec.Steps, func(s job.Step) bool { return !c.fitsOnSomeInstance(s.ReservedResources()) })
}

// fitsOnSomeInstance reports whether an instance of the fleet has these resources at full size, or
// may have them because its size is not reported.
func (c *Core) fitsOnSomeInstance(need job.Resources) bool {
	if len(c.instances) == 0 {
		return true
	}
	for _, i := range c.instances {
		if i.Capacity == (job.Resources{}) || i.Capacity.Fits(need) {
			return true
		}
	}
	return false
}

// largestInstance returns the largest amount of each resource that an instance of the fleet has;
// zero if it is not known.
func (c *Core) largestInstance() job.Resources {
	var out job.Resources
	for _, i := range c.instances {
		if i.Capacity == (job.Resources{}) {
			return job.Resources{}
		}
		out.CPUMilli = max(out.CPUMilli, i.Capacity.CPUMilli)
		out.MemMB = max(out.MemMB, i.Capacity.MemMB)
		out.GPU = max(out.GPU, i.Capacity.GPU)
	}
	return out
}

// AdmissionHint returns for which jobs other daemons have to ask before they accept them.
func (c *Core) AdmissionHint(now time.Time) admission.Hint {
	h := admission.Hint{MemoryScarce: c.isMemoryScarce()}
	if c.opt.AdmissionPolicy.RefusesImpossible() {
		h.Largest = c.largestInstance()
	}
	h.OrdersWait = c.opt.AdmissionPolicy.RefusesByStartOrders() && c.IsBacklogged(now)
	for service, ctl := range c.admission.controllers {
		if ctl.IsCongested() {
			h.Congested = append(h.Congested, service)
		}
	}
	slices.Sort(h.Congested)
	return h
}

// updateAdmission passes snapshots of the pools to their controllers. Only pools in which tasks
// wait, or that were congested, need one.
func (c *Core) updateAdmission(now time.Time) {
	if !c.refusesByPool() || now.Before(c.admission.nextUpdateAt) {
		return
	}
	c.admission.nextUpdateAt = now.Add(admissionInterval)
	waiting := map[string]*waitingWork{}
	for service, p := range c.pools {
		ctl := c.admission.controllers[service]
		if p.waitingCores > 0 || ctl != nil && (ctl.IsCongested() || ctl.HasRefusals()) {
			waiting[service] = &waitingWork{}
		}
	}
	if len(waiting) == 0 {
		return
	}
	for _, j := range c.openJobs {
		if w := waiting[j.service]; w != nil && !j.state.Final() {
			w.add(c, j, now)
		}
	}
	c.updateIndexes(now)
	for service, w := range waiting {
		c.updateController(service, w, now)
	}
}

// updateController passes a snapshot to the service's controller. As long as an earlier owner's
// runs are not known, their tasks would count as waiting, so that nothing is refused.
func (c *Core) updateController(service string, w *waitingWork, now time.Time) {
	ctl := c.admission.controllers[service]
	if ctl == nil {
		ctl = &admission.Controller{}
		c.admission.controllers[service] = ctl
	}
	if c.opt.Term > 1 && !c.takeoverDone[service] || !c.canSendInstanceOrders(now) {
		ctl.Reset()
		return
	}
	queue := admission.NewQueue(w.list)
	supply := c.admissionSupply(service, queue.MeanTask(), now)
	ctl.Update(supply, queue, now)
	if n := ctl.CountNeedless(supply, int(c.pool(service).firstWaitingBand()), now); n > 0 {
		c.counts.NeedlessRefusals += n
		c.logDecision(Decision{Event: "refusals-needless", Reason: fmt.Sprintf("%s: %d refused jobs could have started in time; %.0f of %.0f cores are free", service, n, supply.FreeCores, supply.Cores)})
	}
}

// waitingWork is the work of a service that no worker has started.
type waitingWork struct{ list []admission.Waiting }

// add adds the job's tasks without a run, also those of later steps. Jobs at their tenant's limit
// do not wait for the pool.
func (w *waitingWork) add(c *Core, j *jobState, now time.Time) {
	left, cores := 0.0, 0.0
	factor := c.pool(j.service).estimateRatio.factor()
	for _, s := range j.steps {
		if s.withoutRun == 0 || s.spec.LongRunning {
			continue
		}
		n := float64(s.withoutRun) * float64(s.spec.ReservedResources().CPUMilli) / 1000
		cores += n
		left += n * s.spec.Estimate.Seconds() * factor
	}
	if left == 0 || !c.tenantLimitAllows(j.spec, &j.spec.Steps[0], 1, now) {
		return
	}
	e := c.queueEntryOf(j, now)
	w.list = append(w.list, admission.Waiting{Rank: e.rank(), Work: left, Cores: cores})
}

// admissionSupply returns the capacity of the service's pool. Workers that are reserved for
// maintenance or for a move take no new tasks and do not count.
func (c *Core) admissionSupply(service string, meanTask time.Duration, now time.Time) admission.Supply {
	p := c.pool(service)
	rate := p.arrivalRate.WorkPerSecond(p.supply.instances+p.arrivingInstances, now) * p.estimateRatio.factor()
	s := admission.Supply{ArrivalRate: rate, MeanTask: meanTask, Cores: -float64(p.supply.longRunningMilli) / 1000}
	for _, k := range p.free.classes {
		s.Cores += float64(len(k.byFree)) * float64(k.capacity.CPUMilli) / 1000
		for _, w := range k.byFree {
			s.FreeCores += float64(w.indexedFreeCPUMilli) / 1000
		}
	}
	s.Cores = max(s.Cores, s.FreeCores)
	for id, m := range c.moves {
		if i := c.instances[id]; i != nil && m.toPool == service {
			in := cmp.Or(c.admission.moveDuration, defaultMoveDuration) - now.Sub(m.orderedAt)
			s.Arrivals = append(s.Arrivals, admission.Arrival{In: max(0, in), Cores: c.fullCores(i)})
		}
	}
	slices.SortFunc(s.Arrivals, func(a, b admission.Arrival) int { return cmp.Compare(a.In, b.In) })
	return s
}

// fullCores returns the cores of the instance at full size, or of the largest in its target pool if
// its size is not reported.
func (c *Core) fullCores(i *instanceState) float64 {
	milli := i.Capacity.CPUMilli
	if m := c.moves[i.ID]; milli == 0 && m != nil {
		for size := range c.pool(m.toPool).supply.sizes {
			milli = max(milli, size)
		}
	}
	return float64(milli) / 1000
}

// moveDurationDecay is the weight of the previous value of the mean duration of moves, at each move.
const moveDurationDecay = 0.9

// recordMoveDuration updates the expected duration of a move.
func (a *admissionState) recordMoveDuration(d time.Duration) {
	if a.moveDuration == 0 {
		a.moveDuration = d
		return
	}
	a.moveDuration = time.Duration(moveDurationDecay*float64(a.moveDuration) + (1-moveDurationDecay)*float64(d))
}
