package node

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

// evacuations are the availability zones that operators want to get no new tasks, as far as this
// daemon has heard. An entry of the store that names a zone asks for that, whatever its value.
type evacuations struct {
	mu     sync.Mutex
	zones  map[string]bool
	listed map[string]bool // while all entries are read anew: those read so far; else nil
}

// beginList says that all entries are about to be read anew.
func (e *evacuations) beginList() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = map[string]bool{}
}

// endList forgets the zones that were not among the entries, if all have been read anew; it
// reports whether there were any.
func (e *evacuations) endList() (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listed == nil {
		return false
	}
	before := len(e.zones)
	maps.DeleteFunc(e.zones, func(zone string, _ bool) bool { return !e.listed[zone] })
	e.listed = nil
	return len(e.zones) < before
}

// set adds a zone or takes it out; it reports whether that changed anything.
func (e *evacuations) set(zone string, on bool) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.zones == nil {
		e.zones = map[string]bool{}
	}
	if on && e.listed != nil {
		e.listed[zone] = true
	}
	changed = e.zones[zone] != on
	if on {
		e.zones[zone] = true
	} else {
		delete(e.zones, zone)
	}
	return changed
}

func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.zones))
}

// applyEvacuationEntry takes an operators' request to evacuate a zone, or that it was taken back.
func (n *Node) applyEvacuationEntry(e ledger.Event) {
	zone := strings.TrimPrefix(e.Key, n.platform.Formats.EvacuationPrefix)
	if zone == "" {
		n.refusedEntries.add(e.Key, e.Revision, errors.New("it names no zone"))
		return
	}
	if n.evacuations.set(zone, !e.Deleted) {
		n.onEvacuationsChanged()
	}
}

// onEvacuationsChanged tells the scheduler, if this daemon is the owner.
func (n *Node) onEvacuationsChanged() {
	zones := n.evacuations.list()
	n.metrics.evacuatedZones(len(zones))
	n.log.Info("evacuations", zap.Strings("zones", zones))
	if t := n.term.Load(); t != nil {
		t.updateEvacuations()
	}
}

// onOperatorEntriesSynced takes note that all that the store told of the operators' keys is applied.
func (n *Node) onOperatorEntriesSynced() {
	if n.evacuations.endList() {
		n.onEvacuationsChanged()
	}
	n.configConfirmedAt.Store(n.uptimeNanos())
}
