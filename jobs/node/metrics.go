package node

import (
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// Metrics holds the metrics of a daemon.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
}

// NewMetrics returns metrics that report to scope. h serves them.
func NewMetrics(scope tally.Scope, h http.Handler) *Metrics {
	return &Metrics{scope: scope, handler: h}
}

// Handler returns the HTTP handler that serves the metrics as text.
func (m *Metrics) Handler() http.Handler { return m.handler }

// latencyBuckets range from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// ObserveResponse implements gateway.Observer.
func (m *Metrics) ObserveResponse(method string, status int, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"method": method, "status": strconv.Itoa(status)})
	s.Counter("answers").Inc(1)
	m.scope.Tagged(map[string]string{"method": method}).Histogram("answer_time", latencyBuckets).RecordDuration(took)
}

// connClosed counts a connection that was closed because of a limit of its listener.
func (m *Metrics) connClosed(listener, reason string) {
	m.scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("connections_closed").Inc(1)
}

func (m *Metrics) order(kind string, o owner.Outcome) {
	m.scope.Tagged(map[string]string{"order": kind, "outcome": o.String()}).Counter("orders").Inc(1)
}

func (m *Metrics) commit(err error, took time.Duration) {
	outcome := "written"
	if err != nil {
		outcome = string(verdict.CodeOf(err))
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("commits").Inc(1)
	m.scope.Histogram("commit_time", latencyBuckets).RecordDuration(took)
}

// jobRefused counts a submission that the owner refused.
func (m *Metrics) jobRefused(queue string, d admission.Decision) {
	m.scope.Tagged(map[string]string{"queue": queue, "reason": string(d.Reason)}).Counter("jobs_refused").Inc(1)
}

// refusedEntries sets the number of store entries that are refused at present.
func (m *Metrics) refusedEntries(n int) { m.scope.Gauge("entries_refused").Update(float64(n)) }

// evacuatedZones sets the number of evacuated zones that this daemon knows of.
func (m *Metrics) evacuatedZones(n int) { m.scope.Gauge("evacuated_zones").Update(float64(n)) }

// slowdown sets how many times slower than usual the instance is.
func (m *Metrics) slowdown(factor float64) { m.scope.Gauge("instance_slower_by").Update(factor) }

// storeCall counts a direct call to the store, including those that are made for a peer.
func (m *Metrics) storeCall(c ledger.StoreCall) {
	kind := map[string]string{"call": c.Kind, "stale": strconv.FormatBool(c.Stale)}
	m.scope.Tagged(kind).Tagged(map[string]string{"outcome": c.Outcome}).Counter("store_calls").Inc(1)
	if c.Kind != "watch" { // a watch blocks until something changes
		m.scope.Tagged(map[string]string{"call": c.Kind}).Histogram("store_time", latencyBuckets).RecordDuration(c.Took)
	}
}

func (m *Metrics) storeFailure(err error) {
	m.scope.Tagged(map[string]string{"code": string(verdict.CodeOf(err)), "verdict": verdict.Of(err).String()}).Counter("store_failures").Inc(1)
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ownerStats sets the gauges of the owner. A daemon that is no longer the owner keeps reporting
// its last values; those of the newest term are valid.
func (m *Metrics) ownerStats(s owner.Stats) {
	for name, v := range map[string]float64{
		"owner_open_jobs": float64(s.OpenJobs), "owner_unrecorded_jobs": float64(s.DirtyJobs),
		"owner_workers": float64(s.Workers), "owner_workers_usable": float64(s.UsableWorkers), "owner_workers_silent": float64(s.SilentWorkers),
		"owner_tasks": float64(s.RunningTasks), "owner_instances_moving": float64(s.MovingInstances), "owner_waves_blocked": float64(s.BlockedWaves), "owner_cores_waiting": s.WaitingCores,
		"owner_starts": float64(s.Starts), "owner_starts_refused": float64(s.Refused), "owner_tasks_done": float64(s.Done),
		"owner_tasks_failed": float64(s.Failed), "owner_tasks_stopped": float64(s.Stopped), "owner_tasks_lapsed": float64(s.Lapsed),
		"owner_tasks_lost": float64(s.Lost), "owner_commits": float64(s.Commits),
		"owner_lasting_tasks_lapsed": float64(s.LongRunningLapsed), "owner_jobs_considered": float64(s.JobsConsidered),
		"owner_run_ends_skipped": float64(s.SkippedEnds),
		"owner_worker_crashes":   float64(s.Crashes), "owner_worker_ends_unplanned": float64(s.UnplannedEnds),
		"owner_jobs_failed_by_attempts": float64(s.JobsFailedByAttempts), "owner_jobs_failed_by_crashes": float64(s.JobsFailedByCrashes),
		"owner_lapses_unproven": float64(s.UnprovenLapses), "owner_uncertain": boolGauge(s.Uncertain),
		"owner_trials": float64(s.IsolatedStarts), "owner_tasks_given_up": float64(s.GivenUp),
		"owner_starts_unanswered": float64(s.Unanswered), "owner_starts_repeated": float64(s.Repeated), "owner_repeats_denied": float64(s.RepeatsDenied),
		"owner_starts_settled_by_answer": float64(s.SettledByAnswer), "owner_starts_settled_by_run_list": float64(s.SettledByRunList),
		"owner_starts_settled_by_end": float64(s.SettledByEnd), "owner_start_settling_s": s.SettlingTime.Seconds(),
		"owner_tasks_held_back":    float64(s.HeldBack),
		"owner_call_timeout_min_s": s.MinCallTimeout.Seconds(), "owner_call_timeout_max_s": s.MaxCallTimeout.Seconds(),
		"owner_refusals": float64(s.RefusedJobs), "owner_refusals_needless": float64(s.NeedlessRefusals),
	} {
		m.scope.Gauge(name).Update(v)
	}
	for _, p := range s.Pools {
		pool := m.scope.Tagged(map[string]string{"pool": p.Name})
		pool.Gauge("pool_instances").Update(float64(p.Instances))
		pool.Gauge("pool_instances_arriving").Update(float64(p.Arriving))
		pool.Gauge("pool_cores_busy").Update(p.BusyCores)
		pool.Gauge("pool_cores_waiting").Update(p.WaitingCores)
		pool.Gauge("pool_work_rate").Update(p.ArrivalRate)
		pool.Gauge("pool_largest_zone_share").Update(p.LargestZoneShare)
	}
}
