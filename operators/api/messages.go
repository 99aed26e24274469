// Package api is the operators' HTTP API of a daemon: it executes statements and
// reports status, burn rates and waves. The types in this file are its JSON
// messages; package client uses them too.
package api

import (
	"time"

	"github.com/postmount/postmount/operators/command"
	"github.com/postmount/postmount/verdict"
)

// ExecRequest asks to execute the statements in Text. ID identifies the request:
// a repeat with the same ID gets a response but is not executed again.
type ExecRequest struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// ExecResponse holds one result per statement, up to the first that failed.
type ExecResponse struct {
	Results []Result `json:"results"`
}

// Result is the outcome of one statement.
type Result struct {
	Statement int             `json:"statement"` // from 1
	Verdict   verdict.Verdict `json:"verdict"`
	Code      verdict.Code    `json:"code,omitempty"`
	Message   string          `json:"message,omitempty"`
	Table     *command.Table  `json:"table,omitempty"`
	Revision  int64           `json:"revision,omitempty"`
	// InForce reports whether every live entry daemon has applied the change.
	// Behind names those that had not when the wait timed out.
	InForce bool     `json:"in_force"`
	Behind  []string `json:"behind,omitempty"`
	// InForceMillis is the time from recording the change until it was in force
	// or the wait timed out.
	InForceMillis int64 `json:"in_force_ms,omitempty"`
}

// Status is the status of one daemon. Calls and bytes are counted from its start.
type Status struct {
	Entry         string    `json:"entry"`
	Zone          string    `json:"zone"`
	Version       string    `json:"version"`
	Epoch         int64     `json:"epoch"`   // of the membership view
	Members       []string  `json:"members"` // of the membership view
	Serving       bool      `json:"serving"`
	Reason        string    `json:"reason,omitempty"` // why it does not serve
	StoreUp       bool      `json:"store_up"`
	Revision      int64     `json:"revision"`            // newest store revision applied
	ListedAt      time.Time `json:"instances_listed_at"` // when the instance list was read
	Instances     int       `json:"instances"`
	InFlight      int64     `json:"requests_in_flight"`
	Claims        int       `json:"claims"`        // idempotency keys that it keeps as their owner
	ClaimBytes    int       `json:"claim_bytes"`   // size of the answers kept for them
	SlotsSettled  bool      `json:"slots_settled"` // the slot shares of this view are in use
	StoreReads    int64     `json:"store_reads"`
	StoreWrites   int64     `json:"store_writes"`
	StoreWatches  int64     `json:"store_watches"`
	StoreBytesIn  int64     `json:"store_bytes_in"`
	StoreBytesOut int64     `json:"store_bytes_out"`
	// ControlBytes counts the control traffic with store, platform and peers in
	// both directions; for store and platform only bodies.
	ControlBytes int64 `json:"control_bytes"`
	Conflicts    int64 `json:"write_conflicts"`
}

// BurnReport holds the burn rates of the fleet's service-level objectives.
type BurnReport struct {
	Rows []BurnRow `json:"rows"`
	// Missing names the members whose counts are not included.
	Missing []string `json:"missing,omitempty"`
}

// BurnRow holds the burn rates of one class of one service.
type BurnRow struct {
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Objective float64 `json:"objective"` // fraction, 0 if none is set
	// Windows are in the order of slo.Windows.
	Windows []BurnWindow `json:"windows"`
	Alert   string       `json:"alert,omitempty"` // a slo.Alert
}

// BurnWindow holds the request counts and the burn rate of one window.
type BurnWindow struct {
	Seconds int     `json:"seconds"`
	Total   int64   `json:"total"`
	Bad     int64   `json:"bad"`  // failed or later than the latency objective
	Rate    float64 `json:"rate"` // see slo.BurnRate
}

// WaveReport describes a wave as observed by the daemon that responds. It has
// no samples from before the start of that daemon.
type WaveReport struct {
	Wave     string     `json:"wave"`
	State    string     `json:"state"`
	Started  time.Time  `json:"started"`
	Ended    time.Time  `json:"ended,omitzero"`
	Deadline time.Time  `json:"deadline,omitzero"`
	Finished int        `json:"finished"`
	Failed   int        `json:"failed"`
	Pools    []WavePool `json:"pools"`
}

// WavePool is one pool's availability over the wave.
type WavePool struct {
	Pool           string       `json:"pool"`
	MaxOut         int          `json:"most_out"`
	BudgetExceeded bool         `json:"broken"` // at some point more instances were out of service than allowed
	Samples        []PoolSample `json:"samples"`
}

// PoolSample is a pool's availability from At until the next sample.
type PoolSample struct {
	At        time.Time `json:"at"`
	Available int       `json:"available"`
	Floor     int       `json:"floor"` // minimum available that the budget allows
	Out       int       `json:"out"`
	Allowed   int       `json:"allowed"` // maximum number out at the same time
}

// ErrorResponse is the body of the response to a request refused as a whole.
type ErrorResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Line    int             `json:"line,omitempty"`   // of a syntax error, from 1
	Column  int             `json:"column,omitempty"` // of a syntax error, from 1
}
