// Package control runs the reconcile loops: one goroutine derives plans from
// the records and the observed instances, and hands their parts to workers
// that write by compare-and-swap, send commands and talk to task APIs.
//
// Every daemon runs the same loops. Which one tries for a pool or wave follows
// from the view; that two try at once costs a lost swap and nothing else.
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
	"github.com/postmount/postmount/requests/place"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/rendezvous"
	"github.com/postmount/postmount/requests/wave"
	"github.com/postmount/postmount/verdict"
)

// Options of a controller.
type Options struct {
	Self         fleet.Incarnation
	Tick         time.Duration // between rounds without a change
	ListInterval time.Duration // between readings of the instance list
	// ListMaxAge is how old the list may be for a new disruption to be granted.
	ListMaxAge time.Duration
	TaskLease  time.Duration
	Wave       wave.Options
	Place      place.Policy
}

// DefaultOptions are those of production.
var DefaultOptions = Options{
	Tick:         200 * time.Millisecond,
	ListInterval: 200 * time.Millisecond,
	ListMaxAge:   3 * time.Second,
	TaskLease:    3 * time.Second,
	Wave:         wave.Options{RebootTimeout: 10 * time.Minute},
	Place:        place.PolicyBestFit,
}

// Deps are what a controller works with.
type Deps struct {
	Store   port.Store
	Mirror  *mirror.Mirror
	List    port.InstanceList
	Actions port.Actions
	Tasks   port.Tasks
	// LiveMembers lists the members of the view that were heard of lately. They
	// divide the work among themselves.
	LiveMembers    func() []fleet.Incarnation
	StoreConnected func() bool // whether the store's watch is alive
	// OnEntriesEnded is told of entry daemons that the platform knows to have ended.
	OnEntriesEnded func([]fleet.Incarnation)
	// OnSnapshot is told of every new snapshot.
	OnSnapshot func(*Snapshot)
	Log        *zap.Logger
}

// Snapshot is what a controller knows. It is immutable.
type Snapshot struct {
	State     *fleet.State
	Instances map[fleet.InstanceID]fleet.Instance
	ListedAt  time.Time // when the instance list was read; zero: never
	version   int       // of Instances
	// Notes explain the last decisions by pool.
	Notes map[fleet.PoolName][]wave.Note
}

// Counters are the controller's counters.
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
	// History is how the pools' availability changed.
	History *History

	snapshot atomic.Pointer[Snapshot]
	events   chan func()
	done     chan struct{}
	wg       sync.WaitGroup

	listFrom int64 // version of the instance list, of the polling goroutine

	// The fields below belong to the control goroutine.
	instances   map[fleet.InstanceID]fleet.Instance
	listVersion int // counts changes of instances
	listedAt    time.Time
	reconnected time.Time // when the store was last found again
	reconciled  time.Time // when the last whole round was made
	active      bool      // the last round found something under way
	wasUp       bool
	// members groups the memberships of the state in grouped.
	grouped   *fleet.State
	groupedAt time.Time
	members   map[fleet.PoolName][]fleet.Membership
	// historyDue tells that something changed since the history was added to.
	// That waits for a list read after the newest record came: a list from
	// before shows instances as out whose claims are released already.
	historyDue bool
	busy       map[string]bool // keys whose write is under way
	sent       map[fleet.CommandID]time.Time
	notes      map[fleet.PoolName][]wave.Note
	tasks      *taskBoard
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
		busy:      map[string]bool{},
		sent:      map[fleet.CommandID]time.Time{},
		notes:     map[fleet.PoolName][]wave.Note{},
		tasks:     newTaskBoard(),
	}
	c.snapshot.Store(&Snapshot{State: fleet.NewState(), Instances: c.instances})
	return c
}

// Snapshot returns the newest snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// SeedInstances takes in a peer's instance list until the platform's own has
// been read.
func (c *Controller) SeedInstances(list []fleet.Instance) {
	c.post(func() {
		if c.listedAt.IsZero() && len(c.instances) == 0 {
			c.instances = index(list)
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
		c.round(ctx, time.Now())
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

func (c *Controller) background(fn func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		fn()
	}()
}

func (c *Controller) post(fn func()) {
	select {
	case c.events <- fn:
	case <-c.done:
	}
}

// pollList reads the instance list at a steady rate.
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
	asked := time.Now()
	ch, err := c.deps.List.Changes(ctx, c.listFrom)
	if err != nil {
		c.Counters.ListErrors.Add(1)
		return
	}
	c.listFrom = ch.Version
	c.post(func() {
		c.listedAt = asked
		if ch.Full || len(ch.Instances) > 0 {
			c.instances = merge(c.instances, ch)
			c.listVersion++
		}
	})
	c.deps.OnEntriesEnded(ch.GoneEntries)
}

// merge returns the list with the changes taken in. The old one is left as it
// is: snapshots share it.
func merge(old map[fleet.InstanceID]fleet.Instance, ch port.InstanceChanges) map[fleet.InstanceID]fleet.Instance {
	if ch.Full {
		return index(ch.Instances)
	}
	next := maps.Clone(old)
	for _, i := range ch.Instances {
		next[i.ID] = i
	}
	return next
}

func index(list []fleet.Instance) map[fleet.InstanceID]fleet.Instance {
	out := make(map[fleet.InstanceID]fleet.Instance, len(list))
	for _, i := range list {
		out[i.ID] = i
	}
	return out
}

// round publishes a snapshot and reconciles everything this daemon tries for.
func (c *Controller) round(ctx context.Context, now time.Time) {
	before := c.snapshot.Load()
	s := c.publish()
	up := c.deps.StoreConnected()
	if up && !c.wasUp {
		c.reconnected = now
	}
	c.wasUp = up
	c.forgetSent(now)
	unchanged := s.State == before.State && s.version == before.version
	if unchanged && !c.active && !c.historyDue && now.Sub(c.reconciled) < idleRound {
		return
	}
	c.reconciled = now
	c.active = busy(s.State)
	if c.grouped != s.State {
		c.grouped, c.members = s.State, s.State.MembersByPool()
		c.groupedAt = now
	}
	r := &roundState{c: c, ctx: ctx, now: now, snap: s, members: c.members, mayWrite: c.mayWrite(now, up)}
	c.historyDue = c.historyDue || !unchanged
	if c.historyDue && c.listedAt.After(c.groupedAt) {
		c.historyDue = false
		r.remember()
	}
	for _, name := range s.State.SortedPools() {
		if c.mine("pool/" + string(name)) {
			r.pool(name)
		}
	}
	for _, name := range s.State.SortedWaves() {
		if c.mine("wave/" + string(name)) {
			r.wave(name)
		}
	}
	r.jobs()
}

// idleRound is the time between whole rounds while nothing changes and nothing
// is under way.
const idleRound = 2 * time.Second

// busy reports whether anything is under way that a round may have to move on
// though no record or instance changed.
func busy(s *fleet.State) bool {
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

// mayWrite reports whether plans may be made from what is known. After a time
// without the store, the instance list must first have been read anew.
func (c *Controller) mayWrite(now time.Time, up bool) bool {
	return up && c.listedAt.After(c.reconnected) && now.Sub(c.listedAt) < c.opts.ListMaxAge
}

// mine reports whether this daemon is the one that tries for a key.
func (c *Controller) mine(key string) bool {
	return rendezvous.Owner(c.deps.LiveMembers(), key) == c.opts.Self
}

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

// writeTimeout bounds one write with the resolution of a lost answer.
const writeTimeout = 5 * time.Second

// write stores a record on a goroutine of its own, one write per key at a
// time. A lost race is not an error: the next round plans from what won.
func write[T any](ctx context.Context, c *Controller, key string, base fleet.Versioned[T], value *T) {
	if c.busy[key] {
		return
	}
	c.busy[key] = true
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
		c.post(func() { delete(c.busy, key) })
	})
}

// resendEvery is the pause between sends of a command not yet seen to work.
const resendEvery = time.Second

// send passes a recorded command on to the platform, at least once.
func (c *Controller) send(ctx context.Context, now time.Time, s wave.InstanceCommand) {
	if at, ok := c.sent[s.Command.ID]; ok && now.Sub(at) < resendEvery {
		return
	}
	c.sent[s.Command.ID] = now
	c.background(func() {
		c.Counters.Commands.Add(1)
		if err := c.deps.Actions.Send(ctx, s.Instance, s.Command); err != nil {
			c.Counters.CommandErrors.Add(1)
		}
	})
}

func (c *Controller) forgetSent(now time.Time) {
	const keep = time.Minute
	for id, at := range c.sent {
		if now.Sub(at) > keep {
			delete(c.sent, id)
		}
	}
}

func newCommandID() fleet.CommandID { return fleet.CommandID(uuid.NewString()) }
