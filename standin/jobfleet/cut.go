package jobfleet

import (
	"sync"
	"time"
)

// Members selects daemons and instances by name, and the store and the instance manager by
// StoreMember and ManagerMember.
type Members func(name string) bool

// Names of the members that are neither a daemon nor an instance.
const (
	StoreMember   = "store"
	ManagerMember = "manager"
)

// Only selects the named members.
func Only(names ...string) Members {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return func(name string) bool { return set[name] }
}

// Except selects all members that m does not select.
func Except(m Members) Members { return func(name string) bool { return !m(name) } }

// cuts are the network cuts of an installation.
type cuts struct {
	mu   sync.Mutex
	list []*cut
}

type cut struct {
	from, to Members
	refuses  bool // daemons are told that nobody listens
}

// Cut drops all messages from members of one group to members of another for d. A call in the other
// direction is carried out, and its answer is lost.
func (in *Installation) Cut(from, to Members, d time.Duration) {
	in.cuts.add(&cut{from: from, to: to}, d)
}

// CutRefusing separates two groups for d. Connections between their daemons are closed and refused,
// as if the processes had ended.
func (in *Installation) CutRefusing(a, b Members, d time.Duration) {
	in.cuts.add(&cut{a, b, true}, d)
	in.cuts.add(&cut{b, a, true}, d)
}

func (l *cuts) add(c *cut, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
	time.AfterFunc(d, func() { l.remove(c) })
}

func (l *cuts) remove(c *cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.list {
		if other == c {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// between returns a cut that separates one member from another, nil if there is none.
func (l *cuts) between(from, to string) *cut {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.list {
		if c.from(from) && c.to(to) {
			return c
		}
	}
	return nil
}

// refused reports whether connections between the two daemons are refused.
func (g *Gate) refused(by *Gate) bool {
	c := g.cuts.between(g.name, by.name)
	return c != nil && c.refuses
}

// requestDropped reports whether the daemon's requests to a member are dropped.
func (g *Gate) requestDropped(to string) bool { return g.cuts.between(g.name, to) != nil }

// answerDropped reports whether a member's answers to the daemon are dropped.
func (g *Gate) answerDropped(from string) bool { return g.cuts.between(from, g.name) != nil }
