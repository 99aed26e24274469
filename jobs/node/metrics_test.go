package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/telemetry"
)

// TestMetricsHandlerServesText checks the names and values of metrics as they are scraped.
func TestMetricsHandlerServesText(t *testing.T) {
	m := telemetry.NewMetrics()
	n := NewMetrics(m.Scope, m.Handler)
	n.ObserveResponse("POST", 200, 3*time.Millisecond)
	n.order("start", owner.NoCapacity)
	n.commit(nil, 5*time.Millisecond)
	n.ownerStats(owner.Stats{
		OpenJobs: 7, Counts: owner.Counts{Starts: 42, LongRunningLapsed: 5, JobsConsidered: 1400, SkippedEnds: 4, UnplannedEnds: 9, JobsFailedByAttempts: 2, JobsFailedByCrashes: 3},
		Pools: []owner.PoolStats{{Name: "orders", Instances: 5, Arriving: 1, BusyCores: 12.5, WaitingCores: 3, ArrivalRate: 20}},
	})
	n.storeCall(ledger.StoreCall{Kind: "range", Stale: true, Outcome: "answered", Took: 4 * time.Millisecond})
	require.NoError(t, m.Close()) // flushes the metrics
	srv := httptest.NewServer(n.Handler())
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for _, line := range []string{
		`postmount_answers{method="POST",status="200"} 1`,
		`postmount_orders{order="start",outcome="no_room"} 1`,
		`postmount_commits{outcome="written"} 1`,
		`postmount_owner_open_jobs 7`,
		`postmount_owner_starts 42`,
		`postmount_owner_lasting_tasks_lapsed 5`,
		`postmount_owner_jobs_considered 1400`,
		`postmount_owner_run_ends_skipped 4`,
		`postmount_owner_worker_ends_unplanned 9`,
		`postmount_owner_jobs_failed_by_attempts 2`,
		`postmount_owner_jobs_failed_by_crashes 3`,
		`postmount_pool_instances{pool="orders"} 5`,
		`postmount_pool_cores_busy{pool="orders"} 12.5`,
		`postmount_pool_work_rate{pool="orders"} 20`,
		`postmount_store_calls{call="range",outcome="answered",stale="true"} 1`,
	} {
		assert.Contains(t, string(text), line)
	}
	assert.Contains(t, string(text), "postmount_answer_time_bucket")
}
