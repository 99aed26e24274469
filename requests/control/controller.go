// Package control runs the reconcile loops. One goroutine computes plans from the
// records and the observed instances; others write by compare-and-swap, send
// commands and call task APIs.
//
// Every daemon runs the same loops. The live members of the view share the pools,
// waves and jobs by rendezvous hashing. If two daemons reconcile the same object at
// the same time, one of them fails its compare-and-swap and plans again in its next
// round.
package control

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/placement"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/rendezvous"
	"github.com/postmount/postmount/requests/wave"
	"github.com/postmount/postmount/verdict"
)

// Options configure a Controller.
type Options struct {
	Self         fleet.Incarnation
	Tick         time.Duration // longest pause between two rounds
	ListInterval time.Duration // between reads of the instance list
	// ListMaxAge is the greatest age of the instance list at which records are
	// still written.
	ListMaxAge time.Duration
	TaskLease  time.Duration // how long a task may run without renewal
	Wave       wave.Options
	Place      placement.Policy
}

// DefaultOptions are the options used in production.
var DefaultOptions = Options{
	Tick:         200 * time.Millisecond,
	ListInterval: 200 * time.Millisecond,
	ListMaxAge:   3 * time.Second,
	TaskLease:    3 * time.Second,
	Wave:         wave.Options{RebootTimeout: 10 * time.Minute},
	Place:        placement.PolicyBestFit,
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Store   port.Store
	Mirror  *mirror.Mirror
	List    port.InstanceList
	Actions port.Actions
	Tasks   port.Tasks
	// LiveMembers lists the members of the view that answered recently. The pools
	// and waves are divided among them.
	LiveMembers    func() []fleet.Incarnation
	StoreConnected func() bool // whether the store's watch is alive
	// OnEntriesEnded is called with the entry daemons that the platform knows to
	// have ended.
	OnEntriesEnded func([]fleet.Incarnation)
	// OnSnapshot is called with every snapshot that differs from the last one.
	OnSnapshot func(*Snapshot)
	Log        *zap.Logger
}

// Snapshot is the state that a controller knows. It is immutable.
type Snapshot struct {
	State     *fleet.State
	Instances map[fleet.InstanceID]fleet.Instance
	ListedAt  time.Time // when the instance list was requested; zero if it has never been read
	version   int       // of Instances
	// Notes explain the last decisions by pool.
	Notes map[fleet.PoolName][]wave.Note
}

// Counters count the controller's writes to the store, its calls to the platform
// and the workers, and their errors, since the start of the daemon.
type Counters struct {
	Writes, Conflicts, WriteErrors    atomic.Int64
	Commands, CommandErrors           atomic.Int64
	ListErrors, TaskErrors, TaskSyncs atomic.Int64
}

// Controller runs the loops of one daemon.
type Controller struct {
	opts     Options
	deps     Deps
	writer   *record.Writer
	Counters Counters
	// History holds the changes of the pools' availability.
	History *History

	snapshot atomic.Pointer[Snapshot]
	events   chan func()
	done     chan struct{}
	wg       sync.WaitGroup

	// lastListVersion is the platform's version of the instance list that was read
	// last. Only the goroutine of pollList uses it.
	lastListVersion int64

	// Only the control goroutine, which runs Run, uses the fields below.
	instances      map[fleet.InstanceID]fleet.Instance
	listVersion    int // counts changes of instances
	listedAt       time.Time
	reconnectedAt  time.Time // when the connection to the store was last restored
	reconciledAt   time.Time // when the last full round ran
	workWasPending bool      // the last full round found work pending
	wasConnected   bool      // the store was connected in the last round
	// members groups the memberships of groupedState by pool. It was computed at
	// groupedAt, in the first full round with that state.
	groupedState *fleet.State
	groupedAt    time.Time
	members      map[fleet.PoolName][]fleet.Membership
	// historyPending is true if something changed since the last sample of the
	// history. The next sample waits for an instance list that was requested after
	// the newest record arrived: an older list shows instances as out whose claims
	// are already released.
	historyPending bool
	writing        map[string]bool               // keys with a write in progress
	lastSent       map[fleet.CommandID]time.Time // when each command was last sent
	notes          map[fleet.PoolName][]wave.Note
	tasks          *taskTracker
}

// New returns a controller that has not started.
func New(opts Options, deps Deps) *Controller {
	c := &Controller{
		opts:      opts,
		deps:      deps,
		writer:    record.NewWriter(deps.Store),
		History:   newHistory(),
		events:    make(chan func()),
		done:      make(chan struct{}),
		instances: map[fleet.InstanceID]fleet.Instance{},
		writing:   map[string]bool{},
		lastSent:  map[fleet.CommandID]time.Time{},
		notes:     map[fleet.PoolName][]wave.Note{},
		tasks:     newTaskTracker(),
	}
	c.snapshot.Store(&Snapshot{State: fleet.NewState(), Instances: c.instances})
	return c
}

// Snapshot returns the newest snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// SeedInstances uses a peer's instance list until the platform's list has been
// read.
func (c *Controller) SeedInstances(list []fleet.Instance) {
	c.postToLoop(func() {
		if c.listedAt.IsZero() && len(c.instances) == 0 {
			c.instances = byID(list)
			c.listVersion++
		}
	})
}

// Run runs the loops until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.background(func() { c.pollList(ctx) })
	tick := time.NewTicker(c.opts.Tick)
	defer tick.Stop()
	for {
		changed := c.deps.Mirror.Changed()
		c.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			close(c.done)
			c.wg.Wait()
			return
		case fn := <-c.events:
			fn()
		case <-changed:
		case <-tick.C:
		}
	}
}

// background runs fn on its own goroutine. Run waits for it before it returns.
func (c *Controller) background(fn func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		fn()
	}()
}

// postToLoop runs fn on the control goroutine, unless the controller has stopped.
func (c *Controller) postToLoop(fn func()) {
	select {
	case c.events <- fn:
	case <-c.done:
	}
}

// pollList reads the instance list every ListInterval.
func (c *Controller) pollList(ctx context.Context) {
	t := time.NewTicker(c.opts.ListInterval)
	defer t.Stop()
	for {
		c.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Controller) readList(ctx context.Context) {
	requestedAt := time.Now()
	ch, err := c.deps.List.Changes(ctx, c.lastListVersion)
	if err != nil {
		c.Counters.ListErrors.Add(1)
		return
	}
	c.lastListVersion = ch.Version
	c.postToLoop(func() {
		c.listedAt = requestedAt
		if ch.Full || len(ch.Instances) > 0 {
			c.instances = applyListChanges(c.instances, ch)
			c.listVersion++
		}
	})
	c.deps.OnEntriesEnded(ch.GoneEntries)
}

// applyListChanges returns a copy of old with the changes applied. old stays as it
// is, because snapshots share it.
func applyListChanges(old map[fleet.InstanceID]fleet.Instance, ch port.InstanceChanges) map[fleet.InstanceID]fleet.Instance {
	if ch.Full {
		return byID(ch.Instances)
	}
	next := maps.Clone(old)
	for _, i := range ch.Instances {
		next[i.ID] = i
	}
	return next
}

func byID(list []fleet.Instance) map[fleet.InstanceID]fleet.Instance {
	out := make(map[fleet.InstanceID]fleet.Instance, len(list))
	for _, i := range list {
		out[i.ID] = i
	}
	return out
}

// reconcile runs one round: it publishes a snapshot and reconciles the pools,
// waves and jobs that are assigned to this daemon.
func (c *Controller) reconcile(ctx context.Context, now time.Time) {
	before := c.snapshot.Load()
	s := c.publish()
	connected := c.deps.StoreConnected()
	if connected && !c.wasConnected {
		c.reconnectedAt = now
	}
	c.wasConnected = connected
	c.pruneSent(now)
	unchanged := s.State == before.State && s.version == before.version
	if unchanged && !c.workWasPending && !c.historyPending && now.Sub(c.reconciledAt) < idleInterval {
		return
	}
	c.reconciledAt = now
	c.workWasPending = workPending(s.State)
	if c.groupedState != s.State {
		c.groupedState, c.members = s.State, s.State.MembersByPool()
		c.groupedAt = now
	}
	r := &round{c: c, ctx: ctx, now: now, snap: s, members: c.members, mayWrite: c.mayWrite(now, connected)}
	c.historyPending = c.historyPending || !unchanged
	if c.historyPending && c.listedAt.After(c.groupedAt) {
		c.historyPending = false
		r.recordHistory()
	}
	for _, name := range s.State.SortedPools() {
		if c.assignedToSelf("pool/" + string(name)) {
			r.reconcilePool(name)
		}
	}
	for _, name := range s.State.SortedWaves() {
		if c.assignedToSelf("wave/" + string(name)) {
			r.reconcileWave(name)
		}
	}
	r.reconcileJobs()
}

// idleInterval is the time between full rounds while nothing changes and no work
// is pending.
const idleInterval = 2 * time.Second

// workPending reports whether a round may have work to do although no record or
// instance changed.
func workPending(s *fleet.State) bool {
	for _, p := range s.Pools {
		if len(p.Value.Disruptions)+len(p.Value.Requests) > 0 {
			return true
		}
	}
	for _, w := range s.Waves {
		if !w.Value.Ended() {
			return true
		}
	}
	for _, js := range s.Jobs {
		for i := range js.Value.Jobs {
			if !js.Value.Jobs[i].State.Ended() {
				return true
			}
		}
	}
	return false
}

// mayWrite reports whether the state is recent enough to write records. After a
// reconnection to the store, the instance list must first be read again.
func (c *Controller) mayWrite(now time.Time, connected bool) bool {
	return connected && c.listedAt.After(c.reconnectedAt) && now.Sub(c.listedAt) < c.opts.ListMaxAge
}

// assignedToSelf reports whether this daemon reconciles the object with the given
// key. The live members share the keys by rendezvous hashing.
func (c *Controller) assignedToSelf(key string) bool {
	return rendezvous.Owner(c.deps.LiveMembers(), key) == c.opts.Self
}

// publish stores a new snapshot and calls OnSnapshot if its records or instances
// differ from those of the last one.
func (c *Controller) publish() *Snapshot {
	old := c.snapshot.Load()
	state := c.deps.Mirror.State()
	notes := make(map[fleet.PoolName][]wave.Note, len(c.notes))
	for k, v := range c.notes {
		notes[k] = v
	}
	s := &Snapshot{State: state, Instances: c.instances, ListedAt: c.listedAt, version: c.listVersion, Notes: notes}
	c.snapshot.Store(s)
	if old.State != state || old.version != c.listVersion {
		c.deps.OnSnapshot(s)
	}
	return s
}

// writeTimeout bounds one write, including the reads that find out whether a write
// whose answer was lost took effect.
const writeTimeout = 5 * time.Second

// write stores a record on its own goroutine, one write per key at a time. A
// conflict is not an error: the next round plans from the record that won.
func write[T any](ctx context.Context, c *Controller, key string, base fleet.Versioned[T], value *T) {
	if c.writing[key] {
		return
	}
	c.writing[key] = true
	c.background(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		w, err := record.Write(ctx, c.writer, key, base, value, 0)
		c.Counters.Writes.Add(1)
		switch {
		case err == nil:
			c.deps.Mirror.Apply([]port.Event{{KV: w.KV}}, 0)
		case verdict.CodeOf(err) == record.CodeConflict:
			c.Counters.Conflicts.Add(1)
		default:
			c.Counters.WriteErrors.Add(1)
		}
		c.postToLoop(func() { delete(c.writing, key) })
	})
}

// resendInterval is the pause between sends of a command whose effect the platform
// does not report yet.
const resendInterval = time.Second

// send sends a recorded command to the platform. Every round calls it until the
// platform reports the effect, so a command is sent at least once.
func (c *Controller) send(ctx context.Context, now time.Time, cmd wave.InstanceCommand) {
	if at, ok := c.lastSent[cmd.Command.ID]; ok && now.Sub(at) < resendInterval {
		return
	}
	c.lastSent[cmd.Command.ID] = now
	c.background(func() {
		c.Counters.Commands.Add(1)
		if err := c.deps.Actions.Send(ctx, cmd.Instance, cmd.Command); err != nil {
			c.Counters.CommandErrors.Add(1)
		}
	})
}

// pruneSent forgets commands that have not been sent for a minute.
func (c *Controller) pruneSent(now time.Time) {
	const retention = time.Minute
	for id, at := range c.lastSent {
		if now.Sub(at) > retention {
			delete(c.lastSent, id)
		}
	}
}

func newCommandID() fleet.CommandID { return fleet.CommandID(uuid.NewString()) }
