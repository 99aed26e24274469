// Package admission implements admission control: it decides which waiting request
// of a service runs next and which is refused immediately. There is one
// controller per service. Priority classes share the service's slots by weight
// (stride scheduling), so a burst in one class doesn't delay the others and no
// class starves.
//
// The package does no I/O and reads no clock: time is passed in.
package admission

import (
	"container/heap"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// ID identifies a waiting request within its controller.
type ID uint64

// waitingRequest is a queued request.
type waitingRequest struct {
	ID         ID
	Class      fleet.ClassName
	Deadline   time.Time
	enqueuedAt time.Time // under PolicyFIFO an arrival number instead of a time
	heapIndex  int       // position in the heap of its class
}

// Policy selects the order in which waiting requests run.
type Policy string

// Policies. PolicyFIFO is the baseline for performance comparisons.
const (
	PolicyWeighted Policy = "weighted" // by class weight, then earliest deadline
	PolicyFIFO     Policy = "fifo"     // by arrival over all classes; refuses only at a full queue
)

// Options configure a Controller.
type Options struct {
	Policy Policy
	// MaxQueue is the maximum number of waiting requests per class.
	MaxQueue int
	// MinRetryAfter is the minimum retry delay returned with a refusal.
	MinRetryAfter time.Duration
}

// DefaultOptions are the production settings.
var DefaultOptions = Options{Policy: PolicyWeighted, MaxQueue: 1024, MinRetryAfter: time.Second}

// Refusal says why a request was not queued and when to retry. A refused
// request never ran.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Values of Refusal.Reason.
const (
	ReasonQueueFull           = "queue-full"
	ReasonDeadlineUnreachable = "deadline-cannot-be-met"
	ReasonDeadlinePassed      = "deadline-passed"
)

// class is a priority class with its queue.
type class struct {
	weight int
	queue  queue
	// virtualTime grows by 1/weight with each dispatched request; the class with
	// the lowest value is served next.
	virtualTime float64
	// lastDispatch is the time of the last dispatch that left requests waiting,
	// zero if the queue was emptied.
	lastDispatch time.Time
	// dispatchInterval is the moving average of the time between dispatches while
	// requests were waiting; 0 until the first sample.
	dispatchInterval time.Duration
}

// Controller holds the admission state of one service. It is not safe for
// concurrent use.
type Controller struct {
	opts        Options
	classes     map[fleet.ClassName]*class
	classOrder  []fleet.ClassName
	waiting     map[ID]*waitingRequest
	virtualTime float64 // virtual time of the last dispatched request
	// serviceTime is the moving average of how long a request holds its slot.
	serviceTime time.Duration
	// slots is the maximum number of concurrent requests to the service from
	// this daemon.
	slots    int
	arrivals uint64 // number of queued requests so far; orders them under PolicyFIFO
}

// initialServiceTime is assumed until the first request has completed.
const initialServiceTime = 20 * time.Millisecond

// averageSmoothing is the weight of the newest sample in the moving averages.
const averageSmoothing = 0.1

// New returns a controller with no classes and one slot.
func New(opts Options) *Controller {
	return &Controller{
		opts:        opts,
		classes:     map[fleet.ClassName]*class{},
		waiting:     map[ID]*waitingRequest{},
		serviceTime: initialServiceTime,
		slots:       1,
	}
}

// SetClasses sets the service's classes. Requests waiting in a removed class
// stay queued.
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

// SetSlots sets the maximum number of concurrent requests, at least 1.
func (c *Controller) SetSlots(n int) { c.slots = max(n, 1) }

// ObserveServiceTime records how long a request held its slot.
func (c *Controller) ObserveServiceTime(held time.Duration) {
	c.serviceTime += time.Duration(averageSmoothing * float64(held-c.serviceTime))
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.waiting) }

// WaitingIn returns the number of waiting requests of one class.
func (c *Controller) WaitingIn(name fleet.ClassName) int {
	if k := c.classes[name]; k != nil {
		return k.queue.Len()
	}
	return 0
}

// Push queues a request, or returns a refusal if the queue of its class is full
// or its expected completion is after its deadline.
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
	req := &waitingRequest{ID: id, Class: name, Deadline: deadline, enqueuedAt: now}
	if c.opts.Policy == PolicyFIFO {
		req.enqueuedAt = time.Unix(0, int64(c.arrivals))
	}
	c.waiting[id] = req
	k.queue.fifo = c.opts.Policy == PolicyFIFO
	heap.Push(&k.queue, req)
	return nil
}

// expectedWait estimates how long a new request of class k would wait: the queue
// of its class divided by the class's share of the service rate. Other classes
// may leave part of their share unused, so the recent dispatch rate of the class
// is used if it is higher.
func (c *Controller) expectedWait(k *class) time.Duration {
	totalWeight := k.weight
	for _, other := range c.classes {
		if other != k && other.queue.Len() > 0 {
			totalWeight += other.weight
		}
	}
	dispatches := float64(k.queue.Len()+1) * float64(totalWeight) / float64(k.weight) // of all classes
	wait := time.Duration(dispatches / float64(c.slots) * float64(c.serviceTime))
	if k.dispatchInterval > 0 {
		wait = min(wait, time.Duration(k.queue.Len()+1)*k.dispatchInterval)
	}
	return wait
}

// recordDispatch updates the dispatch interval of class k.
func (c *Controller) recordDispatch(now time.Time, k *class) {
	if !k.lastDispatch.IsZero() {
		sample := now.Sub(k.lastDispatch)
		if k.dispatchInterval == 0 {
			k.dispatchInterval = sample
		}
		k.dispatchInterval += time.Duration(averageSmoothing * float64(sample-k.dispatchInterval))
	}
	k.lastDispatch = now
	if k.queue.Len() == 0 {
		k.lastDispatch = time.Time{}
	}
}

func (c *Controller) refusal(reason string, wait time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: max(wait, c.opts.MinRetryAfter)}
}

// Pop removes and returns the request to run next. Requests that can no longer
// meet their deadline are removed too and returned in expired; they did not run.
func (c *Controller) Pop(now time.Time) (next ID, ok bool, expired []ID) {
	for {
		k := c.nextClass()
		if k == nil {
			return 0, false, expired
		}
		req := heap.Pop(&k.queue).(*waitingRequest)
		delete(c.waiting, req.ID)
		if c.cannotMeetDeadline(now, req) {
			expired = append(expired, req.ID)
			continue
		}
		c.recordDispatch(now, k)
		c.virtualTime = k.virtualTime
		k.virtualTime += 1 / float64(k.weight)
		return req.ID, true, expired
	}
}

// cannotMeetDeadline reports whether a request started now would be answered
// after its deadline. A slot is better used for a request that can meet its own.
func (c *Controller) cannotMeetDeadline(now time.Time, req *waitingRequest) bool {
	if c.opts.Policy == PolicyFIFO {
		return !now.Before(req.Deadline)
	}
	return !now.Add(c.serviceTime).Before(req.Deadline)
}

// nextClass returns the class whose first request runs next, nil if none is waiting.
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

// dispatchedBefore reports whether class a is served before class b. Both have
// requests waiting.
func (c *Controller) dispatchedBefore(a, b *class) bool {
	if c.opts.Policy == PolicyFIFO {
		return a.queue.items[0].enqueuedAt.Before(b.queue.items[0].enqueuedAt)
	}
	return a.virtualTime < b.virtualTime
}

// Expire removes the requests at the head of each queue whose deadline has
// passed and returns their IDs.
func (c *Controller) Expire(now time.Time) []ID {
	var out []ID
	for _, name := range c.classOrder {
		k := c.classes[name]
		for k.queue.Len() > 0 && !now.Before(k.queue.items[0].Deadline) {
			req := heap.Pop(&k.queue).(*waitingRequest)
			delete(c.waiting, req.ID)
			out = append(out, req.ID)
		}
	}
	return out
}

// Remove removes a request whose caller has disconnected. It returns false if
// the request is no longer waiting.
func (c *Controller) Remove(id ID) bool {
	req, ok := c.waiting[id]
	if !ok {
		return false
	}
	heap.Remove(&c.classes[req.Class].queue, req.heapIndex)
	delete(c.waiting, id)
	return true
}

// queue is a heap of one class's requests, ordered by deadline, then arrival, or
// by arrival alone under PolicyFIFO.
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
	req := x.(*waitingRequest)
	req.heapIndex = len(q.items)
	q.items = append(q.items, req)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	req := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return req
}
