package owner

// Run numbers rise from one owner to the next, so that workers refuse late starts of earlier owners, and an owner can
// tell its own runs from those of earlier ones. The term n has the numbers from n*runsPerTerm + 1 to (n+1)*runsPerTerm.
// An owner that needs more reserves the next term in the store: the next owner then begins behind it. The same goes for
// fencing tokens: an owner may use the number of any of its terms.

const (
	// runsPerTerm is the number of runs of a term.
	runsPerTerm = 1_000_000
	// reserveRunsBelow is the number of unused run numbers from which the next term is reserved. At 10,000 starts
	// per second they last for 50 s, in which the store may be away.
	reserveRunsBelow = runsPerTerm / 2
)

// runNumbers are the run numbers of an owner.
type runNumbers struct {
	before   uint64 // highest number of earlier owners
	last     uint64 // last number used
	lastTerm uint64 // last term whose numbers are this owner's
}

func firstRunNumbers(term uint64) runNumbers {
	return runNumbers{before: term * runsPerTerm, last: term * runsPerTerm, lastTerm: term}
}

// left returns how many numbers are left.
func (n *runNumbers) left() uint64 { return (n.lastTerm+1)*runsPerTerm - n.last }

func (n *runNumbers) isUsedUp() bool { return n.left() == 0 }

// next returns the next number. It must not be called when they are used up.
func (n *runNumbers) next() uint64 {
	n.last++
	return n.last
}

// isOwn reports whether the run cannot be one of an earlier owner.
func (n *runNumbers) isOwn(run uint64) bool { return run > n.before }

// TermToReserve returns the term that has to be reserved in the store so that this owner does not run out of run
// numbers, or of fencing tokens for workers that restart; needed is false if it has enough of them.
func (c *Core) TermToReserve() (term uint64, needed bool) {
	return c.runs.lastTerm + 1, c.runs.left() < reserveRunsBelow || c.highestToken >= c.runs.lastTerm
}

// OnTermReserved adds the run numbers and the fencing token of a term that is reserved in the store.
func (c *Core) OnTermReserved(term uint64) { c.runs.lastTerm = max(c.runs.lastTerm, term) }
