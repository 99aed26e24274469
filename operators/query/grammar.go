// Package query parses the operators' language. It checks only the syntax;
// package command checks statements against the records.
package query

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Program is a list of statements; ";" between them is optional.
type Program struct {
	Statements []*Statement `parser:"';'* ( @@ ';'* )*"`
}

// Statement is one command. Exactly one of the pointers is set.
type Statement struct {
	Pos        lexer.Position
	Show       *Show       `parser:"( 'show' @@"`
	Why        *Why        `parser:"| 'why' @@"`
	Drain      *Drain      `parser:"| 'drain' 'instance' @@"`
	Return     *Return     `parser:"| 'return' 'instance' @@"`
	Move       *Move       `parser:"| 'move' 'instance' @@"`
	Create     *Create     `parser:"| 'create' @@"`
	Add        *Add        `parser:"| 'add' 'instance' @@"`
	Set        *Set        `parser:"| 'set' @@"`
	StartWave  *StartWave  `parser:"| 'start' 'wave' @@"`
	ChangeWave *ChangeWave `parser:"| @@"`
	Submit     *Submit     `parser:"| 'submit' 'job' @@"`
	CancelJobs *CancelJobs `parser:"| 'cancel' @@ )"`
	// AtRevision is the newest revision of the record to change that the
	// operator has seen; 0 if not given.
	AtRevision int64 `parser:"( 'at' 'revision' @Number )?"`
}

// ReadOnly reports whether the statement changes nothing.
func (s *Statement) ReadOnly() bool { return s.Show != nil || s.Why != nil }

// Show lists the objects of one kind that meet every condition.
type Show struct {
	Kind  string       `parser:"@( 'pools' | 'instances' | 'jobs' | 'waves' | 'revisions' | 'services' | 'routes' | 'teams' )"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

// Condition tests whether a column equals a value.
type Condition struct {
	Field   string `parser:"@Ident"`
	Negated bool   `parser:"( @'!' )? '='"`
	Value   Text   `parser:"@( Ident | Number | String )"`
}

// Why asks for an explanation of the state of one object.
type Why struct {
	Kind string `parser:"@( 'instance' | 'job' | 'wave' | 'pool' )"`
	Name string `parser:"@Ident"`
	Pool string `parser:"( 'in' 'pool' @Ident )?"` // of a job; "" for the jobs of this name in every pool
}

// Drain takes an instance out of service until it is returned.
type Drain struct {
	Instance string `parser:"@Ident"`
}

// Return puts a drained instance back into service.
type Return struct {
	Instance string `parser:"@Ident"`
}

// Move moves an instance to another pool.
type Move struct {
	Instance string `parser:"@Ident"`
	Pool     string `parser:"'to' 'pool' @Ident"`
}

// Create creates a service, route, team or pool.
type Create struct {
	Service *CreateService `parser:"  'service' @@"`
	Route   *CreateRoute   `parser:"| 'route' @@"`
	Team    *CreateTeam    `parser:"| 'team' @@"`
	Pool    *CreatePool    `parser:"| 'pool' @@"`
}

// CreateService creates a service with its priority classes.
type CreateService struct {
	Name    string   `parser:"@Ident"`
	Classes []*Class `parser:"@@ ( ',' @@ )*"`
}

// Class is a priority class and its weight.
type Class struct {
	Name   string `parser:"'class' @Ident"`
	Weight int    `parser:"'weight' @Number"`
}

// CreateRoute maps "host/prefix" to a class of a service.
type CreateRoute struct {
	Match      Text     `parser:"@String"`
	Service    string   `parser:"'to' 'service' @Ident"`
	Class      string   `parser:"'class' @Ident"`
	Idempotent bool     `parser:"( @'idempotent' )?"`
	Timeout    Duration `parser:"( 'timeout' @Number )?"`
}

// CreateTeam creates a team with a quota.
type CreateTeam struct {
	Name  string            `parser:"@Ident"`
	Quota []*ResourceAmount `parser:"'quota' @@+"`
}

// ResourceAmount is an amount of one resource; exactly one field is set.
type ResourceAmount struct {
	CPU          *Number `parser:"  'cpu' @Number"`
	Memory       *Memory `parser:"| 'memory' @Number"`
	Accelerators *int    `parser:"| 'accelerators' @Number"`
	Slots        *int    `parser:"| 'slots' @Number"`
}

// CreatePool creates a pool for a service.
type CreatePool struct {
	Name    string `parser:"@Ident"`
	Service string `parser:"'for' 'service' @Ident"`
	Budget  Budget `parser:"@@"`
}

// Budget is an availability budget.
type Budget struct {
	MaxUnavailable string `parser:"'max-unavailable' @Number"` // a number or a percentage of the pool
	MinAvailable   int    `parser:"( 'min-available' @Number )?"`
	SurviveZone    bool   `parser:"( @'survive-zone' )?"`
}

// Add adds instances to a pool.
type Add struct {
	Instances []string `parser:"@Ident ( ',' @Ident )*"`
	Pool      string   `parser:"'to' 'pool' @Ident"`
}

// Set changes a budget, an objective or the weights.
type Set struct {
	Budget    *SetBudget    `parser:"  'budget' @@"`
	Objective *SetObjective `parser:"| 'objective' @@"`
	Weights   *SetWeights   `parser:"| 'weights' @@"`
}

// SetBudget changes the availability budget of a pool.
type SetBudget struct {
	Pool   string `parser:"@Ident"`
	Budget Budget `parser:"@@"`
}

// SetObjective sets the service level of a class.
type SetObjective struct {
	Service      string   `parser:"'service' @Ident"`
	Class        string   `parser:"'class' @Ident"`
	Availability Number   `parser:"'availability' @Number"` // percent
	Latency      Duration `parser:"( 'latency' @Number )?"`
}

// SetWeights sets the weights of the three costs that planning minimises; see
// fleet.Weights.
type SetWeights struct {
	RollOut Number `parser:"'rollout' @Number"`
	Buffer  Number `parser:"'buffer' @Number"`
	Moves   Number `parser:"'moves' @Number"`
}

// StartWave starts a maintenance wave.
type StartWave struct {
	Name   string   `parser:"@Ident"`
	All    bool     `parser:"'on' ( @'all' 'pools'"`
	Pools  []string `parser:"| 'pools' @Ident ( ',' @Ident )* )"`
	Within Duration `parser:"( 'within' @Number )?"` // from the start to the deadline
}

// ChangeWave pauses, resumes or cancels a wave.
type ChangeWave struct {
	Verb string `parser:"@( 'pause' | 'resume' | 'cancel' ) 'wave'"`
	Name string `parser:"@Ident"`
}

// Submit submits one job, or Count identical ones.
type Submit struct {
	Name   string            `parser:"@Ident"`
	Pool   string            `parser:"'to' 'pool' @Ident"`
	Team   string            `parser:"( 'team' @Ident )?"`
	Count  int               `parser:"( 'count' @Number )?"`
	Needs  []*ResourceAmount `parser:"@@*"`
	Run    Duration          `parser:"( 'run' @Number )?"`    // how long the task runs
	Within Duration          `parser:"( 'within' @Number )?"` // from the submission to the deadline
	Urgent bool              `parser:"( @'urgent' )?"`
}

// CancelJobs cancels one job, or all jobs of a pool in one change.
type CancelJobs struct {
	All  bool   `parser:"( @'jobs'"`
	Name string `parser:"| 'job' @Ident )"`
	Pool string `parser:"'in' 'pool' @Ident"`
}

// Text is an identifier, a number or the content of a quoted string.
type Text string

// Capture implements participle.Capture.
func (t *Text) Capture(values []string) error {
	*t = Text(strings.Trim(values[0], `"`))
	return nil
}

// Quote returns text as a quoted string of the language, which has no escapes.
func Quote(text string) (string, error) {
	if strings.ContainsAny(text, "\"\n") {
		return "", fmt.Errorf("%q contains a quotation mark or a line break, which a quoted text cannot", text)
	}
	return `"` + text + `"`, nil
}

// Duration is a Go duration such as 90s or 2h30m.
type Duration time.Duration

// Capture implements participle.Capture.
func (d *Duration) Capture(values []string) error {
	v, err := time.ParseDuration(values[0])
	if err != nil || v <= 0 {
		return fmt.Errorf("%q is not a positive duration such as 500ms, 90s or 2h", values[0])
	}
	*d = Duration(v)
	return nil
}

// Number is a number with an optional fraction.
type Number float64

// Capture implements participle.Capture.
func (n *Number) Capture(values []string) error {
	v, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return fmt.Errorf("%q is not a number such as 4 or 0.5", values[0])
	}
	*n = Number(v)
	return nil
}

// Memory is an amount of memory in MB. In a statement it has the unit MB, GB, or none
// for MB.
type Memory int

// Capture implements participle.Capture.
func (m *Memory) Capture(values []string) error {
	var n int
	var unit string
	if _, err := fmt.Sscanf(values[0]+" ", "%d%s", &n, &unit); err != nil && unit == "" && n == 0 {
		return fmt.Errorf("%q is not an amount of memory such as 512MB or 4GB", values[0])
	}
	switch strings.ToUpper(unit) {
	case "", "MB":
		*m = Memory(n)
	case "GB":
		*m = Memory(n * 1024)
	default:
		return fmt.Errorf("%q: unknown unit %q, want MB or GB", values[0], unit)
	}
	return nil
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?([a-zA-Z%][a-zA-Z0-9]*)?`},
	{Name: "Ident", Pattern: `[a-zA-Z_][a-zA-Z0-9_.\-]*`},
	{Name: "Punct", Pattern: `[=,;!]`},
	{Name: "Space", Pattern: `\s+`},
})

// parser builds the grammar at its first use: this takes milliseconds, and a daemon on the users' platform has
// no use for it.
var parser = sync.OnceValue(func() *participle.Parser[Program] {
	return participle.MustBuild[Program](
		participle.Lexer(statementLexer),
		participle.Elide("Comment", "Space"),
		participle.UseLookahead(3),
	)
})

// Error is a syntax error.
type Error struct {
	Line, Column int // from 1
	Message      string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// MaxProgramBytes is the maximum size of a program's text, in bytes.
const MaxProgramBytes = 256 << 10

// Parse parses a program. A syntax error is returned as an *Error with its
// position and what was expected there.
func Parse(text string) (*Program, error) {
	if len(text) > MaxProgramBytes {
		return nil, &Error{Line: 1, Column: 1, Message: fmt.Sprintf("the text has %d bytes, the limit is %d", len(text), MaxProgramBytes)}
	}
	p, err := parser().ParseString("", text)
	if err == nil {
		return p, nil
	}
	var syntaxErr participle.Error
	if errors.As(err, &syntaxErr) {
		return nil, &Error{Line: syntaxErr.Position().Line, Column: syntaxErr.Position().Column, Message: readableMessage(syntaxErr.Message())}
	}
	return nil, &Error{Line: 1, Column: 1, Message: err.Error()}
}

// readableTerms replaces the names of types and tokens in participle's messages.
// They have to match the types of the grammar.
var readableTerms = strings.NewReplacer(
	"(expected Show)", "(expected pools, instances, jobs, waves, services, routes, teams or revisions)",
	"(expected Why)", "(expected instance, job, wave or pool, and its name)",
	"(expected Create)", "(expected service, route, team or pool)",
	"(expected Set)", "(expected budget, objective or weights)",
	"(expected Drain)", "(expected the instance's name)",
	"(expected Return)", "(expected the instance's name)",
	"(expected Move)", "(expected the instance's name, to pool, and the pool's name)",
	"(expected Add)", "(expected the instances' names, to pool, and the pool's name)",
	"(expected StartWave)", "(expected the wave's name, on pools, and their names)",
	"(expected Submit)", "(expected the job's name, to pool, and the pool's name)",
	"(expected CancelJobs)", "(expected wave, job or jobs)",
	"(expected Budget)", "(expected max-unavailable and a number or percentage)",
	"(expected Class", "(expected class NAME weight NUMBER",
	"(expected Condition", "(expected FIELD = VALUE",
	"(expected ResourceAmount", "(expected cpu, memory, accelerators or slots with an amount",
	"<ident>", "a name", "<number>", "a number", "<string>", "a quoted text",
)

// statementKeywords are the words that a statement may start with.
const statementKeywords = "show, why, drain, return, move, create, add, set, start, pause, resume, cancel or submit"

// readableMessage rewords a message of participle for operators.
func readableMessage(message string) string {
	if lexerMessage, found := strings.CutPrefix(message, "lexer: "); found {
		return lexerMessage
	}
	if before, _, found := strings.Cut(message, " (expected"); !found {
		return before + " (expected " + statementKeywords + ")"
	}
	return readableTerms.Replace(message)
}
