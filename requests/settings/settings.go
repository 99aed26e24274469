// Package settings reads a daemon's static settings from TOML, strictly: every
// mistake is reported at once, with its line or key and what is allowed.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a Go duration in text form, such as "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration: want for example \"500ms\" or \"10s\"", b)
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Settings are everything that a daemon reads at its start.
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

// Entry names the entry instance.
type Entry struct {
	ID   string `toml:"id" validate:"required,name"`
	Zone string `toml:"zone" validate:"required,name"`
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Traffic string `toml:"traffic" validate:"required,ipport"` // callers
	API     string `toml:"api" validate:"required,ipport"`     // operators, metrics and health
	Peer    string `toml:"peer" validate:"required,ipport"`    // other entry daemons
	// AdvertisePeer and AdvertiseAPI are the addresses that peers use, where
	// they differ from those above.
	AdvertisePeer string `toml:"advertise_peer" validate:"omitempty,ipport"`
	AdvertiseAPI  string `toml:"advertise_api" validate:"omitempty,ipport"`
}

// Endpoint is an outside service.
type Endpoint struct {
	Addr    string   `toml:"addr" validate:"required,ipport"`
	Timeout Duration `toml:"timeout" validate:"mindur=10ms,maxdur=60s"`
}

// Peers is how daemons find and know each other.
type Peers struct {
	Token     string   `toml:"token" validate:"required,min=16,max=128,printascii"`
	Seeds     []string `toml:"seeds" validate:"dive,ipport"`
	Heartbeat Duration `toml:"heartbeat" validate:"mindur=50ms,maxdur=500ms"`
	LeaseTTL  Duration `toml:"lease_ttl" validate:"mindur=1s,maxdur=60s"`
	Grace     Duration `toml:"grace" validate:"mindur=1s,maxdur=60s"`
	Timeout   Duration `toml:"timeout" validate:"mindur=50ms,maxdur=10s"`
}

// Limits bound what callers may ask for.
type Limits struct {
	MaxBody        int64    `toml:"max_body_bytes" validate:"min=1,max=67108864"`
	MaxAnswer      int64    `toml:"max_answer_bytes" validate:"min=1,max=67108864"`
	MaxRetained    int      `toml:"max_retained_bytes" validate:"min=0,max=1048576"`
	MaxInFlight    int64    `toml:"max_in_flight" validate:"min=1,max=100000"`
	MaxBuffered    int64    `toml:"max_buffered_bytes" validate:"min=1,max=8589934592"`
	DefaultTimeout Duration `toml:"default_timeout" validate:"mindur=10ms,maxdur=10m"`
	MaxTimeout     Duration `toml:"max_timeout" validate:"mindur=10ms,maxdur=10m"`
	MaxQueue       int      `toml:"max_queue" validate:"min=1,max=100000"`
}

// Control holds the times of the reconcile loops.
type Control struct {
	Tick          Duration `toml:"tick" validate:"mindur=10ms,maxdur=10s"`
	ListInterval  Duration `toml:"list_interval" validate:"mindur=50ms,maxdur=60s"`
	TaskLease     Duration `toml:"task_lease" validate:"mindur=500ms,maxdur=10m"`
	RebootTimeout Duration `toml:"reboot_timeout" validate:"mindur=1s,maxdur=2h"`
	WaveWidth     int      `toml:"wave_width" validate:"min=0,max=10000"`
}

// Stop holds the times of a planned stop.
type Stop struct {
	// BalancerWait is how long the balancer takes to see that the instance is
	// no longer ready.
	BalancerWait Duration `toml:"balancer_wait" validate:"mindur=0s,maxdur=10m"`
	// Timeout bounds the whole stop.
	Timeout Duration `toml:"timeout" validate:"mindur=1s,maxdur=1h"`
}

// Log says what is logged and how.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
	Format string `toml:"format" validate:"oneof=json console"`
}

// Policies select decisions; the second value of each is the baseline that
// measurements compare with.
type Policies struct {
	Admit string `toml:"admit" validate:"oneof=weighted fifo"`
	Pick  string `toml:"pick" validate:"oneof=least-loaded random"`
	Retry string `toml:"retry" validate:"oneof=budgeted unbudgeted"`
	Place string `toml:"place" validate:"oneof=best-fit first-fit"`
	Loans string `toml:"loans" validate:"oneof=on off"`
}

// Default returns the settings that hold where a file says nothing.
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
			MaxBody: mb, MaxAnswer: 8 * mb, MaxRetained: 256 << 10, MaxInFlight: 4096, MaxBuffered: 64 * mb,
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

// Load reads and checks a file. The error lists every mistake.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, problems := Parse(data)
	if len(problems) > 0 {
		return Settings{}, &Invalid{File: path, Problems: problems}
	}
	return s, nil
}

// Invalid lists the mistakes in a file.
type Invalid struct {
	File     string
	Problems []Problem
}

// Problem is one mistake.
type Problem struct {
	Line int    // from 1; 0 if the mistake has no place of its own
	Key  string // dotted, "" if unknown
	Text string // what is wrong and what is allowed
}

// String returns the problem on one line.
func (p Problem) String() string {
	var at []string
	if p.Line > 0 {
		at = append(at, fmt.Sprintf("line %d", p.Line))
	}
	if p.Key != "" {
		at = append(at, p.Key)
	}
	return strings.Join(append(at, p.Text), ": ")
}

// Error implements error.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads settings over the defaults and returns every mistake.
func Parse(data []byte) (Settings, []Problem) {
	s, problems := decode(data)
	seen := map[string]bool{}
	for _, p := range problems {
		seen[p.Key] = true
	}
	for _, p := range check(s) {
		if !seen[p.Key] {
			problems = append(problems, p)
		}
	}
	return s, problems
}

// typeMistake is how the decoder words a value of a wrong type.
var typeMistake = regexp.MustCompile(`cannot decode TOML (\w+) into struct field \S+ of type (\S+)`)

// decode reads the text. The decoder stops at the first value of a wrong type;
// its line is then blanked and the text decoded again, to find the others too.
func decode(data []byte) (Settings, []Problem) {
	lines := strings.Split(string(data), "\n")
	var problems []Problem
	for {
		s := Default()
		dec := toml.NewDecoder(strings.NewReader(strings.Join(lines, "\n"))).DisallowUnknownFields()
		err := dec.Decode(&s)
		if err == nil {
			return s, problems
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			for _, e := range unknown.Errors {
				row, _ := e.Position()
				problems = append(problems, Problem{row, strings.Join(e.Key(), "."), "unknown key"})
			}
			return s, problems
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			return s, append(problems, Problem{Text: err.Error()})
		}
		row, _ := wrong.Position()
		problems = append(problems, Problem{row, strings.Join(wrong.Key(), "."), typeMistake.ReplaceAllString(strings.TrimPrefix(wrong.Error(), "toml: "), "is of type $1: want $2")})
		if row < 1 || row > len(lines) || lines[row-1] == "" {
			return s, problems
		}
		lines[row-1] = ""
	}
}

// check applies the ranges of the validate tags.
func check(s Settings) []Problem {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	must(v.RegisterValidation("ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	}))
	must(v.RegisterValidation("mindur", func(f validator.FieldLevel) bool {
		return time.Duration(f.Field().Int()) >= mustDuration(f.Param())
	}))
	must(v.RegisterValidation("maxdur", func(f validator.FieldLevel) bool {
		return time.Duration(f.Field().Int()) <= mustDuration(f.Param())
	}))
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return validName(f.Field().String())
	}))
	var failed validator.ValidationErrors
	var out []Problem
	if errors.As(v.Struct(s), &failed) {
		for _, f := range failed {
			key := strings.TrimPrefix(f.Namespace(), "Settings.")
			out = append(out, Problem{Key: key, Text: explain(f)})
		}
	}
	if s.Limits.DefaultTimeout > s.Limits.MaxTimeout {
		out = append(out, Problem{Key: "limits.default_timeout", Text: "is longer than limits.max_timeout"})
	}
	return out
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// mustDuration reads the parameter of a validate tag.
func mustDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	must(err)
	return d
}

func validName(s string) bool {
	for _, r := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-", r) {
			return false
		}
	}
	return s != ""
}

func explain(f validator.FieldError) string {
	value := f.Value()
	if d, ok := value.(Duration); ok {
		value = d.D().String()
	}
	switch f.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return fmt.Sprintf("%q: want an IP number and port, such as \"10.0.0.1:7000\"; host names are not looked up", value)
	case "name":
		return fmt.Sprintf("%q: want letters, digits, '.', '_' and '-'", value)
	case "min", "mindur":
		return fmt.Sprintf("is %v: want at least %s", value, f.Param())
	case "max", "maxdur":
		return fmt.Sprintf("is %v: want at most %s", value, f.Param())
	case "oneof":
		return fmt.Sprintf("is %q: want one of %s", value, f.Param())
	default:
		return fmt.Sprintf("is %v: want %s %s", value, f.Tag(), f.Param())
	}
}
