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

// Item is one request that asks for a slot.
type Item struct {
	ID       ID
	Class    fleet.ClassName
	Deadline time.Time
	queued   time.Time
	index    int // position in its class's heap
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
	ReasonQueueFull = "queue-full"
	ReasonTooLate   = "deadline-cannot-be-met"
	ReasonExpired   = "deadline-passed"
)

// class is one priority class with its queue.
type class struct {
	weight int
	queue  queue
	// pass is the class's virtual time: it grows by 1/weight for each request
	// that is let through, and the class with the least goes next.
	pass float64
	// lastPop is when the class last had a request let through while more
	// waited; interval is the moving average of the time between two such.
	lastPop  time.Time
	interval time.Duration
}

// Core is the admission state of one service. It is not safe for concurrent
// use.
type Core struct {
	opts    Options
	classes map[fleet.ClassName]*class
	order   []fleet.ClassName
	items   map[ID]*Item
	pass    float64 // virtual time of the last request let through
	// serviceTime is the moving average of the time a request holds its slot.
	serviceTime time.Duration
	// slots is how many requests of the service may run here at once.
	slots int
	fifo  uint64
}

// initialServiceTime is assumed until the first request has ended.
const initialServiceTime = 20 * time.Millisecond

// averageWeight is the weight of the newest observation in the moving average.
const averageWeight = 0.1

// New returns an empty core.
func New(opts Options) *Core {
	return &Core{
		opts:        opts,
		classes:     map[fleet.ClassName]*class{},
		items:       map[ID]*Item{},
		serviceTime: initialServiceTime,
		slots:       1,
	}
}

// SetClasses puts the service's classes in force. Waiting requests of a class
// that is gone keep their place.
func (c *Core) SetClasses(classes []fleet.Class) {
	c.order = c.order[:0]
	for _, k := range classes {
		c.order = append(c.order, k.Name)
		if old := c.classes[k.Name]; old != nil {
			old.weight = max(k.Weight, 1)
			continue
		}
		c.classes[k.Name] = &class{weight: max(k.Weight, 1), pass: c.pass}
	}
	for name, k := range c.classes {
		if k.queue.Len() > 0 && !contains(c.order, name) {
			c.order = append(c.order, name)
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
func (c *Core) SetSlots(n int) { c.slots = max(n, 1) }

// Observe notes how long a request held its slot.
func (c *Core) Observe(held time.Duration) {
	c.serviceTime += time.Duration(averageWeight * float64(held-c.serviceTime))
}

// Waiting returns how many requests wait.
func (c *Core) Waiting() int { return len(c.items) }

// WaitingIn returns how many requests of one class wait.
func (c *Core) WaitingIn(name fleet.ClassName) int {
	if k := c.classes[name]; k != nil {
		return k.queue.Len()
	}
	return 0
}

// Push gives a request a place, or refuses it at once: when its class's queue
// is full, or when it would not be answered before its deadline.
func (c *Core) Push(now time.Time, id ID, name fleet.ClassName, deadline time.Time) *Refusal {
	k := c.classes[name]
	if k == nil {
		k = &class{weight: 1, pass: c.pass}
		c.classes[name] = k
		c.order = append(c.order, name)
	}
	if k.queue.Len() >= c.opts.MaxQueue {
		return c.refusal(ReasonQueueFull, c.expectedWait(k))
	}
	wait := c.expectedWait(k)
	if c.opts.Policy != PolicyFIFO && now.Add(wait+c.serviceTime).After(deadline) {
		return c.refusal(ReasonTooLate, wait)
	}
	if k.queue.Len() == 0 {
		k.pass = max(k.pass, c.pass)
	}
	c.fifo++
	it := &Item{ID: id, Class: name, Deadline: deadline, queued: now}
	if c.opts.Policy == PolicyFIFO {
		it.queued = time.Unix(0, int64(c.fifo))
	}
	c.items[id] = it
	k.queue.fifo = c.opts.Policy == PolicyFIFO
	heap.Push(&k.queue, it)
	return nil
}

// expectedWait estimates how long a new request of class k waits: those of its
// class before it, at the class's share of the service's rate. Classes that do
// not use their share up leave it to others, so that the rate at which the class
// was lately served counts if it is higher.
func (c *Core) expectedWait(k *class) time.Duration {
	weights := k.weight
	for _, other := range c.classes {
		if other != k && other.queue.Len() > 0 {
			weights += other.weight
		}
	}
	ahead := float64(k.queue.Len()+1) * float64(weights) / float64(k.weight)
	wait := time.Duration(ahead / float64(c.slots) * float64(c.serviceTime))
	if k.interval > 0 {
		wait = min(wait, time.Duration(k.queue.Len()+1)*k.interval)
	}
	return wait
}

// served notes that class k had a request let through.
func (c *Core) served(now time.Time, k *class) {
	if !k.lastPop.IsZero() {
		sample := now.Sub(k.lastPop)
		if k.interval == 0 {
			k.interval = sample
		}
		k.interval += time.Duration(averageWeight * float64(sample-k.interval))
	}
	k.lastPop = now
	if k.queue.Len() == 0 {
		k.lastPop = time.Time{}
	}
}

func (c *Core) refusal(reason string, wait time.Duration) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: max(wait, c.opts.MinRetryAfter)}
}

// Pop takes out the request that runs next. Those that can no longer be answered
// in time are taken out as well and returned apart; they did not run.
func (c *Core) Pop(now time.Time) (next ID, ok bool, expired []ID) {
	for {
		k := c.nextClass()
		if k == nil {
			return 0, false, expired
		}
		it := heap.Pop(&k.queue).(*Item)
		delete(c.items, it.ID)
		if c.hopeless(now, it) {
			expired = append(expired, it.ID)
			continue
		}
		c.served(now, k)
		c.pass = k.pass
		k.pass += 1 / float64(k.weight)
		return it.ID, true, expired
	}
}

// hopeless reports whether a request would certainly be answered too late: a
// slot spent on it is lost to one that can still be answered.
func (c *Core) hopeless(now time.Time, it *Item) bool {
	if c.opts.Policy == PolicyFIFO {
		return !now.Before(it.Deadline)
	}
	return !now.Add(c.serviceTime).Before(it.Deadline)
}

func (c *Core) nextClass() *class {
	var best *class
	for _, name := range c.order {
		k := c.classes[name]
		if k.queue.Len() == 0 {
			continue
		}
		if best == nil || c.before(k, best) {
			best = k
		}
	}
	return best
}

func (c *Core) before(a, b *class) bool {
	if c.opts.Policy == PolicyFIFO {
		return a.queue.items[0].queued.Before(b.queue.items[0].queued)
	}
	return a.pass < b.pass
}

// Expire takes out every request whose deadline has passed.
func (c *Core) Expire(now time.Time) []ID {
	var out []ID
	for _, name := range c.order {
		k := c.classes[name]
		for k.queue.Len() > 0 && !now.Before(k.queue.items[0].Deadline) {
			it := heap.Pop(&k.queue).(*Item)
			delete(c.items, it.ID)
			out = append(out, it.ID)
		}
	}
	return out
}

// Remove takes out a request whose caller has gone away. It reports false if
// the request no longer waits.
func (c *Core) Remove(id ID) bool {
	it, ok := c.items[id]
	if !ok {
		return false
	}
	heap.Remove(&c.classes[it.Class].queue, it.index)
	delete(c.items, id)
	return true
}

// queue orders one class's requests by deadline, or by arrival under FIFO.
type queue struct {
	items []*Item
	fifo  bool
}

func (q *queue) Len() int { return len(q.items) }
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if q.fifo || a.Deadline.Equal(b.Deadline) {
		return a.queued.Before(b.queued)
	}
	return a.Deadline.Before(b.Deadline)
}
func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	it := x.(*Item)
	it.index = len(q.items)
	q.items = append(q.items, it)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	it := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return it
}
