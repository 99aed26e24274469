package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/admission"
	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/health"
	"github.com/postmount/postmount/requests/retry"
	"github.com/postmount/postmount/requests/route"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// Error codes of requests refused by the dispatcher. All have verdict NotRun.
const (
	CodeNoWorkers  verdict.Code = "no-workers"
	CodeOverloaded verdict.Code = "overloaded"
	CodeCallerGone verdict.Code = "caller-gone"
)

// Policies selects for each decision the production algorithm or the baseline for
// performance comparisons.
type Policies struct {
	Admit admission.Options
	Pick  route.Policy
	Retry retry.Options
	// DisableLoans stops this daemon from borrowing slots of its peers.
	DisableLoans bool
}

// DefaultPolicies are the production settings.
var DefaultPolicies = Policies{Admit: admission.DefaultOptions, Pick: route.PolicyLeastLoaded, Retry: retry.DefaultOptions}

// Dispatcher assigns requests a slot on a worker, or refuses them. It combines
// admission control, slot allocation, outlier detection and retry budgets. One
// lock guards them all and is never held while blocking.
type Dispatcher struct {
	zone     fleet.AvailabilityZone
	policies Policies

	mu       sync.Mutex
	rnd      *rand.Rand
	dir      *directory.Directory
	slots    *slots.Allocator
	services map[fleet.ServiceName]*service
	view     *fleet.View
	nextID   admission.ID

	borrowNeeded chan fleet.ServiceName // services that RunLoans is to borrow slots for
}

// service is the dispatcher's state of one service.
type service struct {
	queue   *admission.Controller
	health  *health.OutlierDetector
	budget  *retry.Budget
	waiting map[admission.ID]chan outcome
	inUse   int // slots in use by requests of this daemon
	// recentPeak is the decaying peak of inUse; that many slots are not lent.
	recentPeak float64
}

// outcome is the result for a waiting request: a grant or an error.
type outcome struct {
	grant *Grant
	err   error
}

// Grant is an acquired slot on a worker. It must be released with Release or
// ReleaseUnsent.
type Grant struct {
	Worker    directory.Worker
	service   fleet.ServiceName
	grantedAt time.Time
}

// NewDispatcher returns the dispatcher of an entry daemon. drain is the maximum
// time for which a lost daemon's requests may still use slots (see slots.New).
func NewDispatcher(self fleet.Incarnation, zone fleet.AvailabilityZone, drain time.Duration, policies Policies, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		zone:         zone,
		policies:     policies,
		rnd:          rnd,
		dir:          directory.Empty(),
		slots:        slots.New(self, drain),
		services:     map[fleet.ServiceName]*service{},
		view:         &fleet.View{},
		borrowNeeded: make(chan fleet.ServiceName, 64),
	}
}

// SetDirectory replaces the directory by a newer one.
func (d *Dispatcher) SetDirectory(dir *directory.Directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dir = dir
	d.slots.SetWorkers(dir.Slots)
	for name, svc := range dir.Services {
		s := d.services[name]
		if s == nil {
			s = &service{
				queue:   admission.New(d.policies.Admit),
				health:  health.New(health.DefaultOptions),
				budget:  retry.NewBudget(d.policies.Retry),
				waiting: map[admission.ID]chan outcome{},
			}
			d.services[name] = s
		}
		s.queue.SetClasses(svc.Classes)
		s.health.RemoveAbsent(dir.Slots)
	}
	d.grantAllWaiting(time.Now())
}

// Directory returns the current directory.
func (d *Dispatcher) Directory() *directory.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir
}

// Acquire waits until the deadline for a slot on a worker of the service. All
// errors have verdict NotRun.
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
		return d.cancelWait(name, id, ch, verdict.Wrap(ctx.Err(), verdict.NotRun, CodeCallerGone, "the caller disconnected while the request waited for a slot"))
	case <-timer.C:
		return d.cancelWait(name, id, ch, overloadedError(admission.Refusal{Reason: admission.ReasonDeadlinePassed, RetryAfter: time.Second}))
	}
}

// enqueue grants a slot immediately if none of the service's requests is waiting
// and a slot is free, else queues the request. ch is nil unless it was queued.
func (d *Dispatcher) enqueue(name fleet.ServiceName, class fleet.ClassName, deadline time.Time) (ch chan outcome, id admission.ID, out outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	svc := d.dir.Services[name]
	s := d.services[name]
	if svc == nil || s == nil || len(svc.Workers) == 0 {
		return nil, 0, outcome{err: newRefusal(CodeNoWorkers, "the service has no worker in service", time.Second)}
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

// requestBorrow asks RunLoans to borrow slots for a service with waiting
// requests. It doesn't block; if the channel is full, loanTick asks again.
func (d *Dispatcher) requestBorrow(name fleet.ServiceName) {
	select {
	case d.borrowNeeded <- name:
	default:
	}
}

// capacity returns the number of slots that this daemon may use on all workers of a
// service.
func (d *Dispatcher) capacity(svc *directory.Service) int {
	n := 0
	for _, w := range svc.Workers {
		n += d.slots.Capacity(w.ID)
	}
	return n
}

// tryGrant takes a slot on the worker chosen by route.Pick. It returns nil if no
// usable worker has a free slot.
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

// grantWaiting grants free slots to waiting requests of a service.
func (d *Dispatcher) grantWaiting(now time.Time, name fleet.ServiceName, s *service) {
	svc := d.dir.Services[name]
	for svc != nil && s.queue.Waiting() > 0 {
		g := d.tryGrant(now, name, s, svc)
		if g == nil {
			return
		}
		id, ok, expired := s.queue.Pop(now)
		for _, e := range expired {
			s.deliver(e, outcome{err: overloadedError(admission.Refusal{Reason: admission.ReasonDeadlinePassed, RetryAfter: time.Second})})
		}
		if !ok {
			d.slots.Release(g.Worker.ID)
			s.inUse--
			return
		}
		s.deliver(id, outcome{grant: g})
	}
}

// deliver sends the result to the goroutine that waits in Acquire.
func (s *service) deliver(id admission.ID, out outcome) {
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

// cancelWait removes a request from the queue. If it was granted a slot in the
// meantime, the slot is released.
func (d *Dispatcher) cancelWait(name fleet.ServiceName, id admission.ID, ch chan outcome, err error) (*Grant, error) {
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

// ReleaseUnsent releases a slot whose request was not sent, or whose result says
// nothing about the worker.
func (d *Dispatcher) ReleaseUnsent(g *Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[g.service]; s != nil {
		s.health.CancelSent(g.Worker.ID)
	}
	d.release(g)
}

// Release releases the slot of a request that was sent and records whether it
// succeeded. It reports whether the worker was ejected or restored because of it.
func (d *Dispatcher) Release(g *Grant, success bool) (ejected, restored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if s := d.services[g.service]; s != nil {
		s.queue.ObserveServiceTime(now.Sub(g.grantedAt))
		s.health.ObserveLatency(now, g.Worker.ID, now.Sub(g.grantedAt))
		if success {
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

// release frees the slot and grants it to a waiting request. d.mu must be held.
func (d *Dispatcher) release(g *Grant) {
	d.slots.Release(g.Worker.ID)
	s := d.services[g.service]
	if s == nil {
		return
	}
	s.inUse--
	d.grantWaiting(time.Now(), g.service, s)
}

// Retry reports whether a failed attempt of a service's request is retried, and
// after which delay.
func (d *Dispatcher) Retry(name fleet.ServiceName, a retry.Attempt) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return 0, false
	}
	return s.budget.AllowRetry(a, d.rnd)
}

// overloadedError returns the error for a request that admission control refused.
func overloadedError(r admission.Refusal) error {
	return newRefusal(CodeOverloaded, r.Reason, r.RetryAfter)
}
