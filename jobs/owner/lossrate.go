package owner

import (
	"math"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Loss rate: how often workers are lost without a task being the cause, such as when instances fail
// one after another. A crash is evidence against a task only in so far as this rate does not
// explain it. Tasks that crash their workers must not raise the rate by which they are judged, so that it
// is that of workers on which no task has just started and no task is isolated, and the losses by tasks
// that are likely to cause them are left out.

const (
	// lossRateWindow is the period before and after a crash over which the rate is taken.
	lossRateWindow = 20 * time.Second
	// lossRetention is how long losses are kept: a crash is judged again with each later one of its task.
	lossRetention = 90 * time.Second
	// lossRateInterval is the time between two measurements of the observed worker time.
	lossRateInterval = time.Second
	// minLossRate is the lowest rate assumed, in losses per second of a worker: failures begin
	// suddenly.
	minLossRate = 0.005
	// lossRateMargin multiplies measured rates: losses come in groups, and thousands of tasks are started
	// while workers fall, each of which may meet them.
	lossRateMargin = 4
	// minLossesForMargin is the number of losses from which the margin applies. In a small fleet fewer
	// are no series, and with the margin they would excuse tasks that crash their workers.
	minLossesForMargin = 5
	// priorWorkerTime is added to the observed worker time, so that a loss right after the beginning of a
	// term is not taken for a very high rate.
	priorWorkerTime = 10 * time.Second
	// minLossesOfInstance is the number of losses of one instance from which its own rate counts.
	minLossesOfInstance = 2
	// minInstancesDown and minShareDown are the number and the share of instances from which those that are
	// down at the beginning of a term count as losses. Fewer may be the work of one task.
	minInstancesDown = 5
	minShareDown     = 0.1
	// assumedDowntime is how long before the term such instances are taken to have been lost: a worker
	// takes this time to start again.
	assumedDowntime = 2 * time.Second
)

// workerLoss is the unplanned end of a worker's incarnation that counts for the loss rate.
type workerLoss struct {
	at       time.Time
	service  string
	instance InstanceID // "": not known
	suspects []*task    // tasks that may have caused it
}

// workerTime is how long workers that count for the loss rate were observed in one interval, added up over
// the workers of each service.
type workerTime struct {
	at        time.Time
	byService map[string]time.Duration
}

// lossHistory holds the losses of workers and the observed worker time of lossRetention.
type lossHistory struct {
	losses   []workerLoss
	observed []workerTime // oldest first, one entry per lossRateInterval
	// inherited is the highest rate by which earlier owners judged crashes, in losses per second of a worker.
	inherited float64
}

// recordLoss records the end of a worker's incarnation, unless it was planned, one of its tasks is the
// likely cause, or it may have ended before this term.
func (c *Core) recordLoss(w *worker, now time.Time) {
	if !w.answeredThisOwner || w.endsAsPlanned() || !w.countsForLossRate(w.contactLoss.lostAt) || slices.ContainsFunc(w.crashSuspects, c.isLikelyCause) {
		return
	}
	c.lossHistory.losses = append(c.lossHistory.losses, workerLoss{at: now, service: w.Service, instance: c.instanceOfWorker[w.Worker], suspects: w.crashSuspects})
}

// countsForLossRate reports whether, at the given time, no run had been started on the worker within
// atStartTime and none was isolated there.
func (w *worker) countsForLossRate(at time.Time) bool {
	for _, r := range w.runs {
		if !r.firstSentAt.IsZero() && (at.Sub(r.firstSentAt) <= atStartTime || r.needsIsolation(at)) {
			return false
		}
	}
	return true
}

// minCrashesOfLikelyCause is the number of instances that crashed without another suspect from which a task is
// the likely cause of its other crashes.
const minCrashesOfLikelyCause = 2

// isLikelyCause reports whether the task is likely to have caused the loss of all workers that it ran on: it
// crashed several instances without another suspect, or so many that the losses of the others do not explain it.
// Crashes that are evidence only since other tasks have completed do not count: among workers that are lost at
// random nearly every loss would have such a cause.
func (c *Core) isLikelyCause(t *task) bool {
	if t.crashes.AloneOnInstances() >= minCrashesOfLikelyCause {
		return true
	}
	return len(t.crashes) > minCrashesOfLikelyCause && t.crashes.AreImprobable(c.measuredLossRate(t))
}

// measuredLossRate returns the rate at which workers of the fleet were lately lost for another reason than t, without
// a margin.
func (c *Core) measuredLossRate(t *task) float64 {
	last := t.crashDetail(t.crashes[len(t.crashes)-1].Run).lostAt
	if last.IsZero() {
		last = c.startedAt
	}
	n := 0
	for i := range c.lossHistory.losses {
		l := &c.lossHistory.losses[i]
		if last.Sub(l.at).Abs() <= lossRateWindow && !slices.Contains(l.suspects, t) {
			n++
		}
	}
	observed, _ := c.lossHistory.observedTime("", last)
	return max(minLossRate, float64(n)/(priorWorkerTime+observed).Seconds())
}

// observeWorkerTime adds the time since the last measurement to the observed worker time, and drops
// what is older than lossRetention.
func (c *Core) observeWorkerTime(now time.Time) {
	h := &c.lossHistory
	last := c.startedAt
	if n := len(h.observed); n > 0 {
		last = h.observed[n-1].at
	}
	since := now.Sub(last)
	if since < lossRateInterval {
		return
	}
	byService := map[string]time.Duration{}
	for service, list := range c.workersByService {
		for _, w := range list {
			if w.answeredThisOwner && !w.ended && !w.isSilent() && w.countsForLossRate(now) {
				byService[service] += since
			}
		}
	}
	h.observed = append(h.observed, workerTime{now, byService})
	h.observed = slices.DeleteFunc(h.observed, func(o workerTime) bool { return now.Sub(o.at) > lossRetention })
	h.losses = slices.DeleteFunc(h.losses, func(l workerLoss) bool { return now.Sub(l.at) > lossRetention })
}

// coincidence returns the probability that a worker is lost within exposure without t being the
// cause, at the time of a crash on the worker; 0 if the exposure is not known.
func (c *Core) coincidence(t *task, worker WorkerID, exposure time.Duration, at time.Time) float64 {
	return -math.Expm1(-c.lossRate(t, c.instanceOfWorker[worker], at) * exposure.Seconds())
}

// reassessCrashes judges the task's crashes that this owner observed by what is known by now: losses around their
// time, which tasks have caused losses, and which suspects have completed since.
func (c *Core) reassessCrashes(t *task) {
	for n := range t.crashes {
		k := &t.crashes[n]
		d := t.crashDetail(k.Run)
		if d.loss == lossObserved && !d.lostAt.IsZero() {
			k.Coincidence = c.coincidence(t, parseIncarnation(d.worker).worker, k.Exposure, d.lostAt)
			k.Eliminated = !k.SoleSuspect && !d.suspects.includeOpenBeside(t)
		}
	}
}

// lossRate returns the rate at which workers were lost around the given time for another reason than t,
// in losses per second of a worker: the highest of the rates of the fleet, of the service and of the
// instance.
func (c *Core) lossRate(t *task, instance InstanceID, at time.Time) float64 {
	service := t.step.job.service
	inFleet, inService, ofInstance := 0, 0, 0
	for n := range c.lossHistory.losses {
		l := &c.lossHistory.losses[n]
		if at.Sub(l.at).Abs() > lossRateWindow || slices.Contains(l.suspects, t) {
			continue
		}
		inFleet++
		if l.service == service {
			inService++
		}
		if instance != "" && l.instance == instance {
			ofInstance++
		}
	}
	observedFleet, observedService := c.lossHistory.observedTime(service, at)
	rate := max(minLossRate, rateOf(inFleet, observedFleet), rateOf(inService, observedService))
	if at.Sub(c.startedAt) < lossRateWindow {
		rate = max(rate, c.lossHistory.inherited)
	}
	if ofInstance >= minLossesOfInstance {
		rate = max(rate, float64(ofInstance)/lossRateWindow.Seconds())
	}
	return rate
}

// rateOf returns an upper bound of the rate of so many losses in the observed worker time, in losses per
// second.
func rateOf(losses int, observed time.Duration) float64 {
	rate := float64(losses) / (priorWorkerTime + observed).Seconds()
	if losses >= minLossesForMargin {
		rate *= lossRateMargin
	}
	return rate
}

// inheritLossRate takes the rate by which an earlier owner judged a crash for lossRateWindow: a new owner
// has observed nothing yet.
func (c *Core) inheritLossRate(k *job.Crash) {
	if k.Exposure > 0 && k.Coincidence > 0 && k.Coincidence < 1 {
		c.lossHistory.inherited = max(c.lossHistory.inherited, -math.Log1p(-k.Coincidence)/k.Exposure.Seconds())
	}
}

// recordInstancesDown counts the instances that are down in the first list of this term as losses in the
// assumedDowntime before it, if they are so many that instances fail one after another.
func (c *Core) recordInstancesDown(list []Instance, now time.Time) {
	var down []workerLoss
	observed := workerTime{now, map[string]time.Duration{}}
	for _, i := range list {
		observed.byService[i.Pool] += assumedDowntime
		if s := c.service(i.Pool); i.State == InstanceDown && (s == nil || !s.Spare) {
			down = append(down, workerLoss{at: now, service: i.Pool, instance: i.ID})
		}
	}
	if areSeries(len(down), len(list)) {
		c.lossHistory.losses = append(c.lossHistory.losses, down...)
		c.lossHistory.observed = append(c.lossHistory.observed, observed)
	}
}

// areSeries reports whether so many of the instances are down that instances fail one after another.
func areSeries(down, instances int) bool {
	return down >= minInstancesDown && float64(down) >= minShareDown*float64(instances)
}

// service returns the configured service, nil if there is none.
func (c *Core) service(name string) *job.Service {
	if c.catalog == nil {
		return nil
	}
	return c.catalog.Service(name)
}

// forgetLossesBy drops the losses that t may have caused, as it is likely to crash its workers.
func (h *lossHistory) forgetLossesBy(t *task) {
	h.losses = slices.DeleteFunc(h.losses, func(l workerLoss) bool { return slices.Contains(l.suspects, t) })
}

// observedTime returns the worker time of the fleet and of a service that was observed around the given
// time.
func (h *lossHistory) observedTime(service string, at time.Time) (fleet, ofService time.Duration) {
	for _, o := range h.observed {
		if at.Sub(o.at).Abs() > lossRateWindow {
			continue
		}
		ofService += o.byService[service]
		for _, d := range o.byService {
			fleet += d
		}
	}
	return fleet, ofService
}
