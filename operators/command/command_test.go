package command

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/wave"
	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/verdict"
)

// session executes statements against a store in memory and records the input and
// output of each.
type session struct {
	t         *testing.T
	store     *store.Direct
	writer    *record.Writer
	mirror    *mirror.Mirror
	instances map[fleet.InstanceID]fleet.Instance
	now       time.Time
	commands  int // number of command IDs used by run
	out       strings.Builder
}

func newSession(t *testing.T) *session {
	s := &session{t: t, store: store.NewDirect(store.NewEngine()), mirror: mirror.New(), instances: map[fleet.InstanceID]fleet.Instance{}}
	s.writer = record.NewWriter(s.store)
	s.now = time.Date(2026, 1, 1, 3, 0, 0, 0, time.UTC)
	for _, name := range []string{"giving-01", "giving-02", "events-01", "events-02"} {
		s.instances[fleet.InstanceID(name)] = fleet.Instance{
			ID: fleet.InstanceID(name), Zone: "zone-a", Rack: "rack-1", State: fleet.InstanceReady, Generation: 1,
			Capacity: fleet.Resources{CPUMilli: 32000, MemoryMB: 131072, Slots: 8},
		}
	}
	return s
}

func (s *session) snapshot() *control.Snapshot {
	return &control.Snapshot{State: s.mirror.State(), Instances: s.instances, ListedAt: s.now}
}

// run executes statements under a new command ID.
func (s *session) run(text string) {
	s.commands++
	s.runAs(fmt.Sprint("id", s.commands), text)
}

func (s *session) runAs(id, text string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fmt.Fprintf(&s.out, "> %s\n", strings.TrimSpace(line))
	}
	p, err := query.Parse(text)
	if err != nil {
		fmt.Fprintf(&s.out, "  %s\n", err)
		return
	}
	for i, st := range p.Statements {
		s.runStatement(fleet.CommandID(fmt.Sprintf("%s/%d", id, i)), st)
	}
}

func (s *session) runStatement(id fleet.CommandID, st *query.Statement) {
	for range 10 {
		plan, err := PlanStep(st, Input{ID: id, Now: s.now, Snapshot: s.snapshot()})
		switch {
		case err != nil:
			fmt.Fprintf(&s.out, "  %s (%s): %s\n", verdict.Of(err), verdict.CodeOf(err), err)
			return
		case plan.Table != nil:
			s.printTable(plan.Table)
			return
		case plan.Write == nil:
			fmt.Fprintf(&s.out, "  %s, revision %d\n", plan.Summary, plan.Revision)
			return
		}
		w, err := plan.Write.Do(context.Background(), s.writer)
		require.NoError(s.t, err)
		s.mirror.Apply([]port.Event{{KV: w.KV}}, w.KV.Revision)
	}
	s.t.Fatal("the statement still has something to write after 10 plans")
}

func (s *session) printTable(t *Table) {
	fmt.Fprintf(&s.out, "  %s\n", strings.Join(t.Columns, " | "))
	for _, r := range t.Rows {
		fmt.Fprintf(&s.out, "  %s\n", strings.Join(r, " | "))
	}
}

// reconcile reconciles a pool once, as a daemon would.
func (s *session) reconcile(name fleet.PoolName) {
	state := s.mirror.State()
	base := state.Pools[name]
	n := 0
	in := wave.Input{
		Now: s.now, Pool: base.Value, Members: state.MembersOf(name), Instances: s.instances, Membership: state.Membership,
		Options: wave.Options{RebootTimeout: time.Minute},
		NewID:   func() fleet.CommandID { n++; return fleet.CommandID(fmt.Sprint("command-", n)) },
	}
	for _, w := range state.SortedWaves() {
		in.Waves = append(in.Waves, state.Waves[w].Value)
	}
	if plan := wave.Reconcile(in); plan.Pool != nil {
		w, err := record.Write(context.Background(), s.writer, record.PoolKey(name), base, plan.Pool, 0)
		require.NoError(s.t, err)
		s.mirror.Apply([]port.Event{{KV: w.KV}}, w.KV.Revision)
		fmt.Fprintf(&s.out, "  (a daemon reconciles pool %s)\n", name)
	}
}

func (s *session) setUp() {
	s.run(`create service giving class donation weight 8, class staff weight 1
		create service events class registration weight 4
		create route "giving.example/donate" to service giving class donation timeout 5s
		create pool giving for service giving max-unavailable 1
		create pool events for service events max-unavailable 1 min-available 1
		add instance giving-01, giving-02 to pool giving
		add instance events-01, events-02 to pool events`)
}

// TestSessions compares the output of whole sessions with golden files; run it with
// -update to rewrite them.
func TestSessions(t *testing.T) {
	sessions := map[string]func(*session){
		"set-up-and-look": func(s *session) {
			s.setUp()
			s.run("show pools; show instances where pool = giving; show services; show routes")
			s.run("show pools where colour = red")
		},
		"wave-and-why": func(s *session) {
			s.setUp()
			s.run("start wave w1 on pools giving within 2h")
			s.reconcile("giving")
			s.run("why instance giving-01; why instance giving-02; why wave w1; why pool giving")
			s.run("pause wave w1; show waves; resume wave w1; cancel wave w1; cancel wave w1")
		},
		"drain-waits-for-the-budget": func(s *session) {
			s.setUp()
			s.run("drain instance giving-01")
			s.reconcile("giving")
			s.run("drain instance giving-02; drain instance giving-02")
			s.reconcile("giving")
			s.run("why instance giving-02; return instance giving-02; return instance giving-02; return instance giving-01")
			s.run("move instance giving-02 to pool giving; move instance giving-02 to pool nowhere")
		},
		"repeated-and-conflicting": func(s *session) {
			s.setUp()
			s.runAs("same", "set budget giving max-unavailable 2")
			s.runAs("same", "set budget giving max-unavailable 2")
			s.run("set budget giving max-unavailable 50% at revision 6")
			s.run("create pool giving for service giving max-unavailable 1")
			s.run("add instance events-01 to pool giving")
		},
		"jobs": func(s *session) {
			s.setUp()
			s.run("create team finance quota cpu 8 memory 64GB")
			s.run("submit job rebuild to pool giving team finance count 2 cpu 4 memory 16GB run 1h within 6h; submit job now to pool giving cpu 1 urgent")
			s.run("show jobs; why job now in pool giving; cancel job now in pool giving; cancel job now in pool giving; cancel jobs in pool giving; show jobs")
		},
		"mistakes": func(s *session) {
			s.run("show poles")
			s.run("drain instance")
			s.run("create pool p for service s max-unavailable 200%")
			s.run("set budget nowhere max-unavailable 1")
			s.run("why job x")
		},
	}
	for name, script := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			script(s)
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}
