package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/admit"
	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/health"
	"github.com/postmount/postmount/requests/retry"
	"github.com/postmount/postmount/requests/route"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// Codes of refusals by the dispatcher.
const (
	CodeNoWorkers  verdict.Code = "no-workers"
	CodeOverloaded verdict.Code = "overloaded"
	CodeCallerGone verdict.Code = "caller-gone"
)

// Policies are the decisions that can be exchanged for a baseline.
type Policies struct {
	Admit admit.Options
	Pick  route.Policy
	Retry retry.Options
	// DisableLoans keeps every slot with the daemon whose share it is.
	DisableLoans bool
}

// DefaultPolicies are those of production.
var DefaultPolicies = Policies{Admit: admit.DefaultOptions, Pick: route.PolicyLeastLoaded, Retry: retry.DefaultOptions}

// Dispatcher gives requests a slot on a worker, or refuses them. It is the
// shell around the admission, slot, health and retry cores; one lock guards
// them all, and nothing waits while holding it.
type Dispatcher struct {
	zone     fleet.AvailabilityZone
	policies Policies

	mu       sync.Mutex
	rnd      *rand.Rand
	dir      *directory.Directory
	slots    *slots.Allocator
	services map[fleet.ServiceName]*service
	view     *fleet.View
	nextID   admit.ID

	borrowNeeded chan fleet.ServiceName // services whose requests wait for a slot
}

// service is the dispatcher's state of one service.
type service struct {
	queue   *admit.Controller
	health  *health.OutlierDetector
	budget  *retry.Budget
	waiting map[admit.ID]chan outcome
	inUse   int
	// recentPeak is the highest recent number of requests in flight here; that many
	// slots are not lent.
	recentPeak float64
}

// outcome is what a waiting request gets: a grant, or the reason why not.
type outcome struct {
	grant *Grant
	err   error
}

// Grant is a slot on a worker. It must be released.
type Grant struct {
	Worker    directory.Worker
	service   fleet.ServiceName
	grantedAt time.Time
}

// NewDispatcher returns a dispatcher of an entry daemon. longest is the
// longest time that a request may run on a worker.
func NewDispatcher(self fleet.Incarnation, zone fleet.AvailabilityZone, longest time.Duration, policies Policies, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		zone:         zone,
		policies:     policies,
		rnd:          rnd,
		dir:          directory.Empty(),
		slots:        slots.New(self, longest),
		services:     map[fleet.ServiceName]*service{},
		view:         &fleet.View{},
		borrowNeeded: make(chan fleet.ServiceName, 64),
	}
}

// SetDirectory puts a newer directory in force.
func (d *Dispatcher) SetDirectory(dir *directory.Directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dir = dir
	d.slots.SetWorkers(dir.Slots)
	for name, svc := range dir.Services {
		s := d.services[name]
		if s == nil {
			s = &service{
				queue:   admit.New(d.policies.Admit),
				health:  health.New(health.DefaultOptions),
				budget:  retry.NewBudget(d.policies.Retry),
				waiting: map[admit.ID]chan outcome{},
			}
			d.services[name] = s
		}
		s.queue.SetClasses(svc.Classes)
		s.health.RemoveAbsent(dir.Slots)
	}
	d.grantAllWaiting(time.Now())
}

// Directory returns the directory in force.
func (d *Dispatcher) Directory() *directory.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir
}

// Acquire waits for a slot of a service's workers until the deadline. Every
// error has verdict NotRun.
func (d *Dispatcher) Acquire(ctx context.Context, name fleet.ServiceName, class fleet.ClassName, deadline time.Time) (*Grant, error) {
	ch, id, out := d.enqueue(name, class, deadline)
	if ch == nil {
		return out.grant, out.err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case out := <-ch:
		return out.grant, out.err
	case <-ctx.Done():
		return d.cancelWait(name, id, ch, verdict.Wrap(ctx.Err(), verdict.NotRun, CodeCallerGone, "the caller went away while waiting"))
	case <-timer.C:
		return d.cancelWait(name, id, ch, overloadedError(admit.Refusal{Reason: admit.ReasonDeadlinePassed, RetryAfter: time.Second}))
	}
}

// enqueue grants a slot at once if nobody waits before the request, else gives
// it a place in the queue (ch is then not nil).
func (d *Dispatcher) enqueue(name fleet.ServiceName, class fleet.ClassName, deadline time.Time) (ch chan outcome, id admit.ID, out outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	svc := d.dir.Services[name]
	s := d.services[name]
	if svc == nil || s == nil || len(svc.Workers) == 0 {
		return nil, 0, outcome{err: newRefusal(CodeNoWorkers, "no worker of the service is in use", time.Second)}
	}
	if s.queue.Waiting() == 0 {
		if g := d.tryGrant(now, name, s, svc); g != nil {
			return nil, 0, outcome{grant: g}
		}
	}
	d.nextID++
	id = d.nextID
	s.queue.SetSlots(d.capacity(svc))
	if r := s.queue.Push(now, id, class, deadline); r != nil {
		return nil, 0, outcome{err: overloadedError(*r)}
	}
	ch = make(chan outcome, 1)
	s.waiting[id] = ch
	d.grantWaiting(now, name, s)
	if s.queue.Waiting() > 0 {
		d.requestBorrow(name)
	}
	return ch, id, outcome{}
}

// requestBorrow tells the borrower that a service's requests wait.
func (d *Dispatcher) requestBorrow(name fleet.ServiceName) {
	select {
	case d.borrowNeeded <- name:
	default:
	}
}

func (d *Dispatcher) capacity(svc *directory.Service) int {
	n := 0
	for _, w := range svc.Workers {
		n += d.slots.Capacity(w.ID)
	}
	return n
}

// tryGrant takes a slot on the worker that the pick decides for.
func (d *Dispatcher) tryGrant(now time.Time, name fleet.ServiceName, s *service, svc *directory.Service) *Grant {
	candidates := make([]route.Candidate, 0, len(svc.Workers))
	for _, w := range svc.Workers {
		free := d.slots.Free(w.ID)
		if free == 0 {
			continue
		}
		usable, probe := s.health.Usable(now, w.ID)
		if usable {
			candidates = append(candidates, route.Candidate{
				Worker: w.ID, Zone: w.Zone, Free: free, Capacity: d.slots.Capacity(w.ID), Probe: probe, Latency: s.health.Latency(now, w.ID),
			})
		}
	}
	id, ok := route.Pick(candidates, d.zone, d.rnd, d.policies.Pick)
	if !ok || !d.slots.Acquire(id) {
		return nil
	}
	s.health.RecordSent(now, id)
	s.inUse++
	s.recentPeak = max(s.recentPeak, float64(s.inUse))
	for _, w := range svc.Workers {
		if w.ID == id {
			return &Grant{Worker: w, service: name, grantedAt: now}
		}
	}
	return nil
}

// grantWaiting grants free slots to those who wait.
func (d *Dispatcher) grantWaiting(now time.Time, name fleet.ServiceName, s *service) {
	svc := d.dir.Services[name]
	for svc != nil && s.queue.Waiting() > 0 {
		g := d.tryGrant(now, name, s, svc)
		if g == nil {
			return
		}
		id, ok, expired := s.queue.Pop(now)
		for _, e := range expired {
			s.deliver(e, outcome{err: overloadedError(admit.Refusal{Reason: admit.ReasonDeadlinePassed, RetryAfter: time.Second})})
		}
		if !ok {
			d.slots.Release(g.Worker.ID)
			s.inUse--
			return
		}
		s.deliver(id, outcome{grant: g})
	}
}

func (s *service) deliver(id admit.ID, out outcome) {
	if ch := s.waiting[id]; ch != nil {
		delete(s.waiting, id)
		ch <- out
	}
}

func (d *Dispatcher) grantAllWaiting(now time.Time) {
	for name, s := range d.services {
		d.grantWaiting(now, name, s)
	}
}

// cancelWait takes a request out of the queue. If it was granted a slot in the
// meantime, the slot goes back.
func (d *Dispatcher) cancelWait(name fleet.ServiceName, id admit.ID, ch chan outcome, err error) (*Grant, error) {
	d.mu.Lock()
	s := d.services[name]
	s.queue.Remove(id)
	delete(s.waiting, id)
	d.mu.Unlock()
	select {
	case out := <-ch:
		if out.grant != nil {
			d.ReleaseUnsent(out.grant)
		}
	default:
	}
	return nil, err
}

// ReleaseUnsent gives back a slot on which nothing was sent.
func (d *Dispatcher) ReleaseUnsent(g *Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[g.service]; s != nil {
		s.health.CancelSent(g.Worker.ID)
	}
	d.release(g)
}

// Release gives back the slot of a request that was sent. good tells whether
// the worker served it well.
func (d *Dispatcher) Release(g *Grant, good bool) (ejected, restored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if s := d.services[g.service]; s != nil {
		s.queue.ObserveServiceTime(now.Sub(g.grantedAt))
		s.health.ObserveLatency(now, g.Worker.ID, now.Sub(g.grantedAt))
		if good {
			restored = s.health.RecordSuccess(g.Worker.ID)
			s.budget.RecordSuccess()
		} else {
			ejected = s.health.RecordFailure(now, g.Worker.ID, d.workerCount(g.service))
		}
	}
	d.release(g)
	return ejected, restored
}

func (d *Dispatcher) workerCount(name fleet.ServiceName) int {
	if svc := d.dir.Services[name]; svc != nil {
		return len(svc.Workers)
	}
	return 0
}

func (d *Dispatcher) release(g *Grant) {
	d.slots.Release(g.Worker.ID)
	s := d.services[g.service]
	if s == nil {
		return
	}
	s.inUse--
	d.grantWaiting(time.Now(), g.service, s)
}

// Retry decides whether a failed try of a service's request is repeated.
func (d *Dispatcher) Retry(name fleet.ServiceName, a retry.Attempt) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return 0, false
	}
	return s.budget.Next(a, d.rnd)
}

func overloadedError(r admit.Refusal) error {
	return newRefusal(CodeOverloaded, r.Reason, r.RetryAfter)
}
