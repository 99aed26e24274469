package requestfaults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/standin/store"
)

// session is a sequence of sends of one request, from the caller to the backend servers. It
// records the events in order, with the virtual time.
type session struct {
	in    *installation
	key   string
	start time.Time
	mu    sync.Mutex
	out   strings.Builder
}

// log records an event.
func (s *session) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.out, "%6d ms  %s\n", time.Since(s.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// stepTexts are the texts of the steps that a session records.
var stepTexts = map[step]string{
	stepClaimed: "has the key owner's decision",
	stepConnect: "connects to a worker",
	stepWait:    "has sent the request; the worker runs it",
}

// send sends the session's request through a daemon.
func (s *session) send(d *daemon, name string) reply {
	s.log("caller   -> %s   %s", d.self.ID, name)
	r := d.request(context.Background(), name, s.key)
	switch {
	case r.noAnswer:
		s.log("caller   <- %s   %s: no answer", d.self.ID, name)
	case r.verdict.String() == "done":
		s.log("caller   <- %s   %s: done, %q", d.self.ID, name, strings.ReplaceAll(r.body, s.key, "KEY"))
	default:
		s.log("caller   <- %s   %s: %s", d.self.ID, name, r.verdict)
	}
	// The key's owner learns of the end shortly after the caller.
	time.Sleep(10 * time.Millisecond)
	return r
}

// runAfter runs fn concurrently after a delay.
func (s *session) runAfter(wg *sync.WaitGroup, after time.Duration, fn func()) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(after)
		fn()
	}()
}

// TestSessions compares whole sessions with golden files; -update rewrites them.
func TestSessions(t *testing.T) {
	scripts := map[string]func(*session, []*daemon, *sync.WaitGroup){
		"resend-through-another-entry": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.runAfter(wg, 30*time.Millisecond, func() { s.send(d[2], "resend while it runs") })
			s.send(d[0], "order")
			wg.Wait()
			s.send(d[2], "resend after it ended")
		},
		"entry-killed-while-it-waits": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.runAfter(wg, 50*time.Millisecond, func() { s.log("e1 is killed"); d[0].kill() })
			s.send(d[0], "order")
			time.Sleep(10 * time.Second)
			s.send(d[2], "resend")
		},
		"owner-killed": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.send(d[0], "order")
			s.log("e2, which owns the key, is killed")
			d[1].kill()
			time.Sleep(10 * time.Second)
			s.send(d[2], "resend")
		},
		"planned-stop-cuts-nothing": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.runAfter(wg, 30*time.Millisecond, func() {
				s.log("e1 stops: it refuses new requests and finishes accepted ones")
				d[0].handler.Stop()
				s.send(d[0], "order that comes too late")
				for d[0].handler.InFlight() > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				_ = d[0].node.Leave(context.Background())
				s.log("e1 has left the view")
			})
			s.send(d[0], "order")
			wg.Wait()
			s.send(d[2], "resend")
		},
		"store-outage": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.log("the store goes down")
			for _, x := range d {
				x.store.SetFaults(store.Faults{Down: true})
			}
			time.Sleep(time.Hour)
			s.key = s.in.newKey(d[1], 0)
			s.send(d[0], "order after an hour")
			s.send(d[2], "resend")
		},
		"refused-did-not-run": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.in.backend.update(func(b *backend) { b.down = true })
			s.log("no worker can be reached")
			s.send(d[0], "order")
			s.in.backend.update(func(b *backend) { b.down = false })
			s.log("workers are back; the order certainly did not run, so it may run now")
			time.Sleep(50 * time.Millisecond)
			s.send(d[2], "resend")
		},
		"cut-answer-is-not-passed-on": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			s.in.backend.update(func(b *backend) { b.truncate = true })
			s.log("workers break the connection during their answers")
			s.send(d[0], "order")
			s.in.backend.update(func(b *backend) { b.truncate = false })
			s.send(d[2], "resend")
		},
		"leaving-worker-gets-no-new-work": func(s *session, d []*daemon, wg *sync.WaitGroup) {
			dir := fixedDirectory()
			dir.Services["orders"].Workers = dir.Services["orders"].Workers[:0]
			d[0].dispatcher.SetDirectory(dir)
			s.log("e1 learns that every worker is leaving")
			s.send(d[0], "order")
			s.log("e3 does not know this yet")
			s.send(d[2], "resend")
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := newInstallation(3)
				defer in.close()
				in.awaitView()
				require.True(t, in.viewAgreed())
				s := &session{in: in, key: in.newKey(in.daemons[1], 0), start: time.Now()}
				in.mu.Lock()
				in.onStep = func(at step, d *daemon) {
					if text := stepTexts[at]; text != "" && !d.isDead() {
						s.log("%s %s", d.self.ID, text)
					}
				}
				in.mu.Unlock()
				var wg sync.WaitGroup
				script(s, in.daemons, &wg)
				wg.Wait()
				s.log("the workers ran it %d time(s)", len(in.backend.sendsOf(s.key)))
				goldie.New(t).Assert(t, name, []byte(s.out.String()))
			})
		})
	}
}

// TestDirectoryListsOnlyAvailableWorkers: the directory lists only workers that are ready
// according to the platform and not claimed by their pool, so a leaving worker gets no new work.
func TestDirectoryListsOnlyAvailableWorkers(t *testing.T) {
	state := fleet.NewState()
	state.Config.Value.Services = []fleet.Service{{Name: "orders"}}
	state.Pools["p"] = fleet.Versioned[fleet.Pool]{Value: &fleet.Pool{Name: "p", Service: "orders", Disruptions: []fleet.Disruption{{Instance: "claimed"}}}}
	shard := &fleet.MemberShard{}
	instances := map[fleet.InstanceID]fleet.Instance{}
	for _, id := range []fleet.InstanceID{"claimed", "draining", "failed", "unlisted", "fine"} {
		shard.Members = append(shard.Members, fleet.Membership{Instance: id, Pool: "p"})
		instances[id] = fleet.Instance{ID: id, State: fleet.InstanceReady}
	}
	delete(instances, "unlisted")
	instances["draining"] = fleet.Instance{ID: "draining", State: fleet.InstanceDraining}
	instances["failed"] = fleet.Instance{ID: "failed", State: fleet.InstanceFailed}
	state.Shards[0] = fleet.Versioned[fleet.MemberShard]{Value: shard}
	got := directory.Build(state, instances).Services["orders"].Workers
	require.Len(t, got, 1)
	require.EqualValues(t, "fine", got[0].ID)
}
