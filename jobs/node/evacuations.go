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

// evacuations holds the availability zones that operators have evacuated, which get no new
// tasks, as far as this daemon knows. A store entry with the zone's name evacuates it, whatever
// its value.
type evacuations struct {
	mu     sync.Mutex
	zones  map[string]bool
	listed map[string]bool // zones read so far while all entries are read again; otherwise nil
}

// beginList is called before all entries are read again.
func (e *evacuations) beginList() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = map[string]bool{}
}

// endList is called after entries were read. If all were read again it removes the zones that
// were not among them, and reports whether there were any.
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

// set adds or removes a zone and reports whether that changed anything.
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

// list returns the evacuated zones, sorted.
func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.zones))
}

// applyEvacuationEntry applies an operators' entry that evacuates a zone, or its deletion.
func (n *Node) applyEvacuationEntry(e ledger.Event) {
	zone := strings.TrimPrefix(e.Key, n.platform.Formats.EvacuationPrefix)
	if zone == "" && e.Deleted {
		n.refusedEntries.remove(e.Key)
		return
	}
	if zone == "" {
		n.refusedEntries.add(e.Key, e.Revision, errors.New("evacuation entry has no zone in its key"))
		return
	}
	if n.evacuations.set(zone, !e.Deleted) {
		n.onEvacuationsChanged()
	}
}

// onEvacuationsChanged logs the evacuated zones and, if this daemon is the owner, passes them to
// the scheduler.
func (n *Node) onEvacuationsChanged() {
	zones := n.evacuations.list()
	n.metrics.evacuatedZones(len(zones))
	n.log.Info("evacuations", zap.Strings("zones", zones))
	if t := n.term.Load(); t != nil {
		t.updateEvacuations()
	}
}

// onOperatorEntriesSynced is called after all known operators' entries are applied. The
// configuration is then known to be the newest.
func (n *Node) onOperatorEntriesSynced() {
	if n.evacuations.endList() {
		n.onEvacuationsChanged()
	}
	n.confirmConfig(n.uptimeNanos())
}
