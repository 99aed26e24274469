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

type cut struct{ from, to Members }

// Cut drops all messages from members of one group to members of another for d. A call in the other
// direction is carried out, and its answer is lost.
func (in *Installation) Cut(from, to Members, d time.Duration) {
	c := &cut{from, to}
	in.cuts.mu.Lock()
	defer in.cuts.mu.Unlock()
	in.cuts.list = append(in.cuts.list, c)
	time.AfterFunc(d, func() { in.cuts.remove(c) })
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

// drops reports whether messages from one member to another are dropped.
func (l *cuts) drops(from, to string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.list {
		if c.from(from) && c.to(to) {
			return true
		}
	}
	return false
}

// requestDropped reports whether the daemon's requests to a member are dropped.
func (g *Gate) requestDropped(to string) bool { return g.cuts.drops(g.name, to) }

// answerDropped reports whether a member's answers to the daemon are dropped.
func (g *Gate) answerDropped(from string) bool { return g.cuts.drops(from, g.name) }
