// Package settings reads a daemon's static settings from a TOML file. Parsing is
// strict, and all errors are reported together, each with its line or key and the
// allowed values.
package settings

import (
	"time"

	"github.com/postmount/postmount/internal/strictoml"
)

// Types of package strictoml that callers of this package need.
type (
	Duration         = strictoml.Duration
	Problem          = strictoml.Problem
	InvalidFileError = strictoml.InvalidFileError
)

// Settings are all settings that a daemon reads at its start.
type Settings struct {
	Entry    Entry    `toml:"entry"`
	Listen   Listen   `toml:"listen"`
	Store    Endpoint `toml:"store"`
	Platform Endpoint `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Control  Control  `toml:"control"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
	Policies Policies `toml:"policies"`
}

// Entry identifies the entry daemon and its availability zone.
type Entry struct {
	ID   string `toml:"id" validate:"required,name"`
	Zone string `toml:"zone" validate:"required,name"`
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Traffic string `toml:"traffic" validate:"required,ipport"` // callers
	API     string `toml:"api" validate:"required,ipport"`     // operators, metrics and health
	Peer    string `toml:"peer" validate:"required,ipport"`    // other entry daemons
	// AdvertisePeer and AdvertiseAPI are the addresses that peers use, if they
	// differ from Peer and API.
	AdvertisePeer string `toml:"advertise_peer" validate:"omitempty,ipport"`
	AdvertiseAPI  string `toml:"advertise_api" validate:"omitempty,ipport"`
}

// Endpoint is an external service.
type Endpoint struct {
	Addr string `toml:"addr" validate:"required,ipport"`
	// Timeout bounds one call.
	Timeout Duration `toml:"timeout" validate:"mindur=10ms,maxdur=60s"`
}

// Peers says how daemons find, authenticate and monitor each other.
type Peers struct {
	// Token authenticates the daemons to each other; all must have the same.
	Token string `toml:"token" validate:"required,min=16,max=128,printascii"`
	// Seeds are peer addresses to contact while no view is known.
	Seeds []string `toml:"seeds" validate:"dive,ipport"`
	// Heartbeat is the interval between heartbeats to each peer.
	Heartbeat Duration `toml:"heartbeat" validate:"mindur=50ms,maxdur=500ms"`
	// LeaseTTL is the lifetime of the daemon's registration without renewal.
	LeaseTTL Duration `toml:"lease_ttl" validate:"mindur=1s,maxdur=60s"`
	// Grace is the silence after which an unregistered member is removed from the
	// view.
	Grace Duration `toml:"grace" validate:"mindur=1s,maxdur=60s"`
	// Timeout bounds connecting to a peer, and each call.
	Timeout Duration `toml:"timeout" validate:"mindur=50ms,maxdur=10s"`
}

// Limits bound the requests of callers.
type Limits struct {
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1,max=67108864"`
	// MaxAnswerBytes limits the body of an answer of a backend server.
	MaxAnswerBytes int64 `toml:"max_answer_bytes" validate:"min=1,max=67108864"`
	// MaxRetainedBytes limits the body of an answer that is retained for resent
	// requests.
	MaxRetainedBytes int `toml:"max_retained_bytes" validate:"min=0,max=1048576"`
	// MaxInFlight limits the number of concurrent requests.
	MaxInFlight int64 `toml:"max_in_flight" validate:"min=1,max=100000"`
	// MaxBufferedBytes limits the total size of buffered request bodies.
	MaxBufferedBytes int64 `toml:"max_buffered_bytes" validate:"min=1,max=8589934592"`
	// DefaultTimeout applies to requests without a deadline header, unless the route
	// sets its own. MaxTimeout limits both.
	DefaultTimeout Duration `toml:"default_timeout" validate:"mindur=10ms,maxdur=10m"`
	MaxTimeout     Duration `toml:"max_timeout" validate:"mindur=10ms,maxdur=10m"`
	// MaxQueue limits the number of waiting requests per class.
	MaxQueue int `toml:"max_queue" validate:"min=1,max=100000"`
}

// Control holds the times of the reconcile loops.
type Control struct {
	// Tick is the longest pause between two rounds of the reconcile loop.
	Tick Duration `toml:"tick" validate:"mindur=10ms,maxdur=10s"`
	// ListInterval is the interval between reads of the platform's instance list.
	ListInterval Duration `toml:"list_interval" validate:"mindur=50ms,maxdur=60s"`
	// TaskLease is how long a task may run without renewal.
	TaskLease Duration `toml:"task_lease" validate:"mindur=500ms,maxdur=10m"`
	// RebootTimeout is how long a reboot may take before a wave skips the instance.
	RebootTimeout Duration `toml:"reboot_timeout" validate:"mindur=1s,maxdur=2h"`
	// WaveMaxConcurrent limits how many instances a wave takes out of one pool at the
	// same time; 0 leaves it to the budget.
	WaveMaxConcurrent int `toml:"wave_width" validate:"min=0,max=10000"`
}

// Stop holds the times of a graceful stop.
type Stop struct {
	// BalancerWait is how long the load balancer takes to notice that the daemon
	// is no longer ready.
	BalancerWait Duration `toml:"balancer_wait" validate:"mindur=0s,maxdur=10m"`
	// Timeout bounds the whole stop.
	Timeout Duration `toml:"timeout" validate:"mindur=1s,maxdur=1h"`
}

// Log sets the level and format of logs.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
	Format string `toml:"format" validate:"oneof=json console"`
}

// Policies select algorithms. The second value of each is the baseline that
// measurements compare with.
type Policies struct {
	Admit string `toml:"admit" validate:"oneof=weighted fifo"`
	Pick  string `toml:"pick" validate:"oneof=least-loaded random"`
	Retry string `toml:"retry" validate:"oneof=budgeted unbudgeted"`
	Place string `toml:"place" validate:"oneof=best-fit first-fit"`
	Loans string `toml:"loans" validate:"oneof=on off"`
}

// Default returns the values of settings that a file omits.
func Default() Settings {
	const mb = 1 << 20
	return Settings{
		Store:    Endpoint{Timeout: Duration(time.Second)},
		Platform: Endpoint{Timeout: Duration(2 * time.Second)},
		Peers: Peers{
			Heartbeat: Duration(300 * time.Millisecond), LeaseTTL: Duration(2 * time.Second),
			Grace: Duration(2 * time.Second), Timeout: Duration(time.Second),
		},
		Limits: Limits{
			MaxBodyBytes: mb, MaxAnswerBytes: 8 * mb, MaxRetainedBytes: 256 << 10, MaxInFlight: 4096, MaxBufferedBytes: 64 * mb,
			DefaultTimeout: Duration(10 * time.Second), MaxTimeout: Duration(30 * time.Second), MaxQueue: 1024,
		},
		Control: Control{
			Tick: Duration(200 * time.Millisecond), ListInterval: Duration(200 * time.Millisecond),
			TaskLease: Duration(3 * time.Second), RebootTimeout: Duration(10 * time.Minute),
		},
		Stop:     Stop{BalancerWait: Duration(3 * time.Second), Timeout: Duration(time.Minute)},
		Log:      Log{Level: "info", Format: "json"},
		Policies: Policies{Admit: "weighted", Pick: "least-loaded", Retry: "budgeted", Place: "best-fit", Loans: "on"},
	}
}

// Load reads and validates a file. The error lists all problems.
func Load(path string) (Settings, error) { return strictoml.Load(path, Default(), checkCombinations) }

// Parse reads settings over the defaults and returns all problems.
func Parse(data []byte) (Settings, []Problem) {
	return strictoml.Parse(data, Default(), checkCombinations)
}

// checkCombinations validates settings against each other.
func checkCombinations(s Settings) []Problem {
	if s.Limits.DefaultTimeout > s.Limits.MaxTimeout {
		return []Problem{{Key: "limits.default_timeout", Text: "is longer than limits.max_timeout"}}
	}
	return nil
}
