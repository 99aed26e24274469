// Package api is the operators' interface of a daemon: it carries out
// statements, and reports status and service-level burn. The types in this
// file are its JSON messages; package client uses them too.
package api

import (
	"time"

	"github.com/postmount/postmount/operators/command"
	"github.com/postmount/postmount/verdict"
)

// ExecRequest asks to carry out the statements of a text. ID identifies the
// request: a repeat with the same id is answered and not carried out again.
type ExecRequest struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// ExecResponse holds one result per statement, up to the first that failed.
type ExecResponse struct {
	Results []Result `json:"results"`
}

// Result is what became of one statement.
type Result struct {
	Statement int             `json:"statement"` // from 1
	Verdict   verdict.Verdict `json:"verdict"`
	Code      verdict.Code    `json:"code,omitempty"`
	Message   string          `json:"message,omitempty"`
	Table     *command.Table  `json:"table,omitempty"`
	Revision  int64           `json:"revision,omitempty"`
	// InForce is true once every live entry daemon has taken the change in.
	// Behind names those that had not within the waiting time.
	InForce bool     `json:"in_force"`
	Behind  []string `json:"behind,omitempty"`
	// InForceMillis is the time from recorded to in force.
	InForceMillis int64 `json:"in_force_ms,omitempty"`
}

// Status is one daemon's own account of itself.
type Status struct {
	Entry         string    `json:"entry"`
	Zone          string    `json:"zone"`
	Version       string    `json:"version"`
	Epoch         int64     `json:"epoch"`
	Members       []string  `json:"members"`
	Serving       bool      `json:"serving"`
	Reason        string    `json:"reason,omitempty"`
	StoreUp       bool      `json:"store_up"`
	Revision      int64     `json:"revision"`
	ListedAt      time.Time `json:"instances_listed_at"`
	Instances     int       `json:"instances"`
	InFlight      int64     `json:"requests_in_flight"`
	Claims        int       `json:"claims"`
	ClaimBytes    int       `json:"claim_bytes"`
	SlotsSettled  bool      `json:"slots_settled"`
	StoreReads    int64     `json:"store_reads"`
	StoreWrites   int64     `json:"store_writes"`
	StoreWatches  int64     `json:"store_watches"`
	StoreBytesIn  int64     `json:"store_bytes_in"`
	StoreBytesOut int64     `json:"store_bytes_out"`
	// ControlBytes is all traffic for control: store, platform and peers, both
	// ways, bodies only for the first two.
	ControlBytes int64 `json:"control_bytes"`
	Conflicts    int64 `json:"write_conflicts"`
}

// BurnReport is the fleet's service-level burn.
type BurnReport struct {
	Rows []BurnRow `json:"rows"`
	// Missing names the members whose counts are not included.
	Missing []string `json:"missing,omitempty"`
}

// BurnRow is the burn of one class of one service.
type BurnRow struct {
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Objective float64 `json:"objective"` // share, 0 if none is set
	// Windows are in the order of slo.Windows.
	Windows []BurnWindow `json:"windows"`
	Alert   string       `json:"alert,omitempty"`
}

// BurnWindow is the count and burn rate over one window.
type BurnWindow struct {
	Seconds int     `json:"seconds"`
	Total   int64   `json:"total"`
	Bad     int64   `json:"bad"`
	Rate    float64 `json:"rate"`
}

// WaveReport is how a wave went, as the asked daemon saw it since its start.
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
	BudgetExceeded bool         `json:"broken"` // more was out than allowed at some time
	Samples        []PoolSample `json:"samples"`
}

// PoolSample is a pool's availability from a time on.
type PoolSample struct {
	At        time.Time `json:"at"`
	Available int       `json:"available"`
	Floor     int       `json:"floor"` // least that the budget allows
	Out       int       `json:"out"`
	Allowed   int       `json:"allowed"`
}

// ErrorResponse is the body of a request that was refused as a whole.
type ErrorResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Line    int             `json:"line,omitempty"`
	Column  int             `json:"column,omitempty"`
}
