// Package admit decides which waiting request of a service runs next and which
// is refused at once. One core serves one service; its classes share the
// service's slots by weight, so that a flood of one class cannot stand before
// another, and no class starves.
//
// Everything here is pure: time comes in as an argument.
package admit

import (
	"container/heap"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// ID identifies a waiting request within its core.
type ID uint64

// waitingRequest is one request that asks for a slot.
type waitingRequest struct {
	ID         ID
	Class      fleet.ClassName
	Deadline   time.Time
	enqueuedAt time.Time
	heapIndex  int // position in its class's heap
}

// Policy selects the order in which waiting requests run.
type Policy string

// Policies. FIFO is the baseline that the measurements compare with.
const (
	PolicyWeighted Policy = "weighted" // by class weight, then earliest deadline
	PolicyFIFO     Policy = "fifo"     // one queue for all classes, no early refusal
)

// Options of a core.
type Options struct {
	Policy Policy
	// MaxQueue bounds the waiting requests of one class.
	MaxQueue int
	// MinRetryAfter is the least time a refused caller is told to wait.
	MinRetryAfter time.Duration
}

// DefaultOptions are those of production.
var DefaultOptions = Options{Policy: PolicyWeighted, MaxQueue: 1024, MinRetryAfter: time.Second}

// Refusal says why a request got no place and when to come back. A refused
// request certainly did not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonQueueFull           = "queue-full"
	ReasonDeadlineUnreachable = "deadline-cannot-be-met"
	ReasonDeadlinePassed      = "deadline-passed"
)

// class is one priority class with its queue.
type class struct {
	weight int
	queue  queue
	// virtualTime is the class's virtual time: it grows by 1/weight for each request
	// that is let through, and the class with the least goes next.
	virtualTime float64
	// lastDispatch is when the class last had a request let through while more
	// waited; interval is the moving average of the time between two such.
	lastDispatch     time.Time
	dispatchInterval time.Duration
}

// Controller is the admission state of one service. It is not safe for concurrent
// use.
type Controller struct {
	opts        Options
	classes     map[fleet.ClassName]*class
	classOrder  []fleet.ClassName
	waiting     map[ID]*waitingRequest
	virtualTime float64 // virtual time of the last request let through
	// serviceTime is the moving average of the time a request holds its slot.
	serviceTime time.Duration
	// slots is how many requests of the service may run here at once.
	slots    int
	arrivals uint64
}

// initialServiceTime is assumed until the first request has ended.
const initialServiceTime = 20 * time.Millisecond

// averageNewWeight is the weight of the newest observation in the moving average.
const averageNewWeight = 0.1

// New returns an empty core.
func New(opts Options) *Controller {
	return &Controller{
		opts:        opts,
		classes:     map[fleet.ClassName]*class{},
		waiting:     map[ID]*waitingRequest{},
		serviceTime: initialServiceTime,
		slots:       1,
	}
}

// SetClasses puts the service's classes in force. Waiting requests of a class
// that is gone keep their place.
func (c *Controller) SetClasses(classes []fleet.Class) {
	c.classOrder = c.classOrder[:0]
	for _, k := range classes {
		c.classOrder = append(c.classOrder, k.Name)
		if old := c.classes[k.Name]; old != nil {
			old.weight = max(k.Weight, 1)
			continue
		}
		c.classes[k.Name] = &class{weight: max(k.Weight, 1), virtualTime: c.virtualTime}
	}
	for name, k := range c.classes {
		if k.queue.Len() > 0 && !contains(c.classOrder, name) {
			c.classOrder = append(c.classOrder, name)
		}
	}
}

func contains(names []fleet.ClassName, n fleet.ClassName) bool {
	for _, x := range names {
		if x == n {
			return true
		}
	}
	return false
}

// SetSlots tells how many requests of the service may run here at once.
func (c *Controller) SetSlots(n int) { c.slots = max(n, 1) }

// ObserveServiceTime notes how long a request held its slot.
func (c *Controller) ObserveServiceTime(held time.Duration) {
	c.serviceTime += time.Duration(averageNewWeight * float64(held-c.serviceTime))
}

// Waiting returns how many requests wait.
func (c *Controller) Waiting() int { return len(c.waiting) }

// WaitingIn returns how many requests of one class wait.
func (c *Controller) WaitingIn(name fleet.ClassName) int {
	if k := c.classes[name]; k != nil {
		return k.queue.Len()
	}
	return 0
}

// Push gives a request a place, or refuses it at once: when its class's queue
// is full, or when it would not be answered before its deadline.
func (c *Controller) Push(now time.Time, id ID, name fleet.ClassName, deadline time.Time) *Refusal {
	k := c.classes[name]
	if k == nil {
		k = &class{weight: 1, virtualTime: c.virtualTime}
		c.classes[name] = k
		c.classOrder = append(c.classOrder, name)
	}
	if k.queue.Len() >= c.opts.MaxQueue {
		return c.refusal(ReasonQueueFull, c.expectedWait(k))
	}
	wait := c.expectedWait(k)
	if c.opts.Policy != PolicyFIFO && now.Add(wait+c.serviceTime).After(deadline) {
		return c.refusal(ReasonDeadlineUnreachable, wait)
	}
	if k.queue.Len() == 0 {
		k.virtualTime = max(k.virtualTime, c.virtualTime)
	}
	c.arrivals++
	it := &waitingRequest{ID: id, Class: name, Deadline: deadline, enqueuedAt: now}
	if c.opts.Policy == PolicyFIFO {
		it.enqueuedAt = time.Unix(0, int64(c.arrivals))
	}
	c.waiting[id] = it
	k.queue.fifo = c.opts.Policy == PolicyFIFO
	heap.Push(&k.queue, it)
	return nil
}

// expectedWait estimates how long a new request of class k waits: those of its
// class before it, at the class's share of the service's rate. Classes that do
// not use their share up leave it to others, so that the rate at which the class
// was lately served counts if it is higher.
func (c *Controller) expectedWait(k *class) time.Duration {
	weights := k.weight
	for _, other := range c.classes {
		if other != k && other.queue.Len() > 0 {
			weights += other.weight
		}
	}
	ahead := float64(k.queue.Len()+1) * float64(weights) / float64(k.weight)
	wait := time.Duration(ahead / float64(c.slots) * float64(c.serviceTime))
	if k.dispatchInterval > 0 {
		wait = min(wait, time.Duration(k.queue.Len()+1)*k.dispatchInterval)
	}
	return wait
}

// recordDispatch notes that class k had a request let through.
func (c *Controller) recordDispatch(now time.Time, k *class) {
	if !k.lastDispatch.IsZero() {
		sample := now.Sub(k.lastDispatch)
		if k.dispatchInterval == 0 {
			k.dispatchInterval = sample
		}
		k.dispatchInterval += time.Duration(averageNewWeight * float64(sample-k.dispatchInterval))
	}
	k.lastDispatch = now
	if k.queue.Len() == 0 {
		k.lastDispatch = time.Time{}
	}
}

func (c *Controller) refusal(reason string, wait time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: max(wait, c.opts.MinRetryAfter)}
}

// Pop takes out the request that runs next. Those that can no longer be answered
// in time are taken out as well and returned apart; they did not run.
func (c *Controller) Pop(now time.Time) (next ID, ok bool, expired []ID) {
	for {
		k := c.nextClass()
		if k == nil {
			return 0, false, expired
		}
		it := heap.Pop(&k.queue).(*waitingRequest)
		delete(c.waiting, it.ID)
		if c.cannotMeetDeadline(now, it) {
			expired = append(expired, it.ID)
			continue
		}
		c.recordDispatch(now, k)
		c.virtualTime = k.virtualTime
		k.virtualTime += 1 / float64(k.weight)
		return it.ID, true, expired
	}
}

// cannotMeetDeadline reports whether a request would certainly be answered too late: a
// slot spent on it is lost to one that can still be answered.
func (c *Controller) cannotMeetDeadline(now time.Time, it *waitingRequest) bool {
	if c.opts.Policy == PolicyFIFO {
		return !now.Before(it.Deadline)
	}
	return !now.Add(c.serviceTime).Before(it.Deadline)
}

func (c *Controller) nextClass() *class {
	var best *class
	for _, name := range c.classOrder {
		k := c.classes[name]
		if k.queue.Len() == 0 {
			continue
		}
		if best == nil || c.dispatchedBefore(k, best) {
			best = k
		}
	}
	return best
}

func (c *Controller) dispatchedBefore(a, b *class) bool {
	if c.opts.Policy == PolicyFIFO {
		return a.queue.items[0].enqueuedAt.Before(b.queue.items[0].enqueuedAt)
	}
	return a.virtualTime < b.virtualTime
}

// Expire takes out every request whose deadline has passed.
func (c *Controller) Expire(now time.Time) []ID {
	var out []ID
	for _, name := range c.classOrder {
		k := c.classes[name]
		for k.queue.Len() > 0 && !now.Before(k.queue.items[0].Deadline) {
			it := heap.Pop(&k.queue).(*waitingRequest)
			delete(c.waiting, it.ID)
			out = append(out, it.ID)
		}
	}
	return out
}

// Remove takes out a request whose caller has gone away. It reports false if
// the request no longer waits.
func (c *Controller) Remove(id ID) bool {
	it, ok := c.waiting[id]
	if !ok {
		return false
	}
	heap.Remove(&c.classes[it.Class].queue, it.heapIndex)
	delete(c.waiting, id)
	return true
}

// queue orders one class's requests by deadline, or by arrival under FIFO.
type queue struct {
	items []*waitingRequest
	fifo  bool
}

func (q *queue) Len() int { return len(q.items) }
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if q.fifo || a.Deadline.Equal(b.Deadline) {
		return a.enqueuedAt.Before(b.enqueuedAt)
	}
	return a.Deadline.Before(b.Deadline)
}
func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].heapIndex, q.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	it := x.(*waitingRequest)
	it.heapIndex = len(q.items)
	q.items = append(q.items, it)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	it := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return it
}
