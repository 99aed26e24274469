package owner

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An incarnation is settled once all leases have expired that orders which were not meant for it may have
// granted: those for past incarnations, and those of earlier owners, who may not have known of its start.
// Their lease ends are times on other clocks, so that a lease may last as long as the worker accepts.
// The worker refuses such orders once it has answered one with the fencing token of its own, and the leases
// end the longest lease after that. From then on its leases are as short as the owners grant them.
//
// Settled incarnations are recorded in the store. The next owner need not wait for more than the leases that
// its predecessors granted to these.

// SettledShards is the number of items that the record of settled incarnations is divided into.
const SettledShards = 16

// SettledShard returns the shard of the record that contains the worker, from 0 to SettledShards-1.
func SettledShard(id WorkerID) int { return int(xxhash.Sum64String(string(id)) % SettledShards) }

// settledShard is one shard of the record.
type settledShard struct {
	startedMs map[WorkerID]int64 // start time of the settled incarnation by worker; 0: not reported
	changedAt time.Time          // earliest change since the shard was last taken; zero: none
}

func (s *settledShard) markChanged(now time.Time) {
	if s.changedAt.IsZero() {
		s.changedAt = now
	}
}

// loadSettled begins with the record of the earlier owners.
func (c *Core) loadSettled(prior map[WorkerID]int64) {
	for i := range c.settled {
		c.settled[i].startedMs = map[WorkerID]int64{}
	}
	for id, startedMs := range prior {
		c.settled[SettledShard(id)].startedMs[id] = startedMs
	}
}

// wasSettled reports whether the incarnation was settled for an earlier owner, or there was none. An
// incarnation without a reported start time counts as settled, as its restarts cannot be told.
func (c *Core) wasSettled(inc incarnation) bool {
	startedMs, recorded := c.opt.Settled[inc.worker]
	return c.opt.Term == 1 || inc.startedMs == 0 || recorded && startedMs == inc.startedMs
}

// scheduleSettling records the worker's incarnation, which has answered, once it is settled.
func (c *Core) scheduleSettling(w *worker, now time.Time) {
	if expiry, possible := c.foreignLeaseExpiry(w); possible && now.Before(expiry) {
		c.settlesDue.add(expiry, w)
		return
	}
	s := &c.settled[SettledShard(w.Worker)]
	if startedMs, recorded := s.startedMs[w.Worker]; recorded && startedMs == w.StartedMs {
		return
	}
	s.startedMs[w.Worker] = w.StartedMs
	s.markChanged(now)
}

// settleDue records the incarnations that have become settled.
func (c *Core) settleDue(now time.Time) {
	for _, w := range c.settlesDue.popAllDue(now) {
		if c.workers[w.Worker] == w && !w.ended {
			c.scheduleSettling(w, now)
		}
	}
}

// dropPastSettled removes a past incarnation of the worker from the record.
func (c *Core) dropPastSettled(w *worker, now time.Time) {
	s := &c.settled[SettledShard(w.Worker)]
	if startedMs, recorded := s.startedMs[w.Worker]; recorded && w.StartedMs != 0 && startedMs != w.StartedMs {
		delete(s.startedMs, w.Worker)
		s.markChanged(now)
	}
}

// ChangedSettledShards returns the shards of the record that have a change from the given time or before,
// which was not taken yet.
func (c *Core) ChangedSettledShards(by time.Time) []int {
	var out []int
	for i := range c.settled {
		if at := c.settled[i].changedAt; !at.IsZero() && !at.After(by) {
			out = append(out, i)
		}
	}
	return out
}

// TakeSettledShard returns the shard of the record, to be stored: the start times of settled incarnations by
// worker. It leaves out workers that are gone.
func (c *Core) TakeSettledShard(shard int) map[WorkerID]int64 {
	s := &c.settled[shard]
	s.changedAt = time.Time{}
	if !c.registrationsAt.IsZero() && !c.instanceListAt.IsZero() {
		maps.DeleteFunc(s.startedMs, func(id WorkerID, _ int64) bool { return c.workers[id] == nil && !c.isOnAnInstance(id) })
	}
	return maps.Clone(s.startedMs)
}

// isOnAnInstance reports whether the latest instance list shows the worker.
func (c *Core) isOnAnInstance(id WorkerID) bool {
	i := c.instances[c.instanceOfWorker[id]]
	return i != nil && i.Worker == id
}
