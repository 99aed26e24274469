package owner

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

// waveState is a maintenance wave and its progress.
type waveState struct {
	WaveRequest
	members            map[InstanceID]bool // Instances as a set
	receivedAt         time.Time
	maintenanceStarted map[InstanceID]bool         // the platform accepted their maintenance
	down               map[InstanceID]downInstance // maintenance ordered, not up again yet
	statusWritten      bool                        // its first status was written
	forecastLate       bool                        // the last forecast says that it will exceed Within
	completed          bool
	blockedBy          *drainBlock // what keeps its instances from being reserved; nil: nothing
	blockedSince       time.Time   // since when it cannot go on; zero: it can
	blockedLogged      bool        // wave-blocked was logged
}

// downInstance is an instance under maintenance.
type downInstance struct {
	orderedAt      time.Time   // by this owner; zero: by an earlier owner, perhaps for another wave
	incarnation    incarnation // before the maintenance; its worker is empty for a spare instance
	seenMaintained bool        // the instance list showed it under maintenance

	acceptedAt time.Time // when the platform accepted the order; zero: not known
}

// Limits and intervals of maintenance.
const (
	// drainGracePeriod is how long tasks on a reserved instance may continue. Most end within
	// this time; the others end with the worker once its maintenance is ordered.
	drainGracePeriod = 2500 * time.Millisecond
	// waveCheckPerInstance is the interval between two checks of the waves, per instance of open
	// waves, since a check visits all of these: with 570 instances there are 22 checks a
	// second. maxWaveCheckInterval limits the interval; it is a tenth of the duration of a
	// wave's shortest step.
	waveCheckPerInstance = 80 * time.Microsecond
	maxWaveCheckInterval = 100 * time.Millisecond
	// orderRetryDelay is how long a worker is avoided after its maintenance was refused.
	orderRetryDelay = 500 * time.Millisecond
	// refusedOrderPause is the time from a refusal until the worker may be reserved again, so that one
	// whose maintenance is always refused still runs tasks.
	refusedOrderPause = 2 * orderRetryDelay
	// MaxDutyLeaseAge is the maximum time since the last renewal of this daemon's lease in the
	// store at which instance orders are sent. The lease may have been revoked since then, and
	// another owner elected. It allows for a renewal every 500 ms that a slow store answers
	// after 300 ms.
	MaxDutyLeaseAge = 900 * time.Millisecond
	// DutyHandoverMargin is added to the wait after a change of owner: the previous owner may
	// send its last order up to MaxDutyLeaseAge after its last renewal, and the order then takes
	// up to maxOrderTransit.
	DutyHandoverMargin = MaxDutyLeaseAge + maxOrderTransit
	// maxOrderTransit is the maximum time that an order takes to reach the platform,
	// including the drift between clocks.
	maxOrderTransit = 300 * time.Millisecond
	// maxInstanceListAge is the maximum age of the instance list at which orders are sent.
	maxInstanceListAge = 3 * time.Second
)

// observeInstance updates the wave from the instance list's entry for one of its members.
// onlyWave says that no other wave names the instance. If several do, the instance list does not
// show for which one it is under maintenance. Each of them then orders the maintenance again once
// the instance is up, and the platform's answer shows which of them is done.
func (ws *waveState) observeInstance(i Instance, onlyWave bool) {
	d, down := ws.down[i.ID]
	switch {
	case i.State == InstanceInMaintenance:
		if onlyWave || !d.orderedAt.IsZero() {
			ws.maintenanceStarted[i.ID] = true
		}
		d.seenMaintained = true
		ws.down[i.ID] = d
	case down && i.State == InstanceUp && (d.seenMaintained || i.Worker != d.incarnation.worker):
		delete(ws.down, i.ID)
	}
}

// OnWave adds a wave that operators have requested, unless it is known already. started lists the
// instances whose maintenance an earlier owner has recorded as started.
func (c *Core) OnWave(req WaveRequest, started []InstanceID, completed bool, now time.Time) {
	if c.waves[req.Wave] != nil {
		return
	}
	ws := &waveState{WaveRequest: req, members: map[InstanceID]bool{}, receivedAt: now, maintenanceStarted: map[InstanceID]bool{}, down: map[InstanceID]downInstance{}, completed: completed, statusWritten: completed}
	for _, id := range started {
		ws.maintenanceStarted[id] = true
	}
	ws.Instances = nil // without repetitions
	for _, id := range req.Instances {
		if !ws.members[id] {
			ws.members[id] = true
			ws.Instances = append(ws.Instances, id)
		}
	}
	c.waves[req.Wave] = ws
	c.logDecision(Decision{Event: "wave-added", Reason: fmt.Sprintf("wave %d: %d instances within %s, %d down at once", req.Wave, len(req.Instances), req.Within, req.MaxDown)})
}

// MaintenanceStarted returns the instances of a wave whose maintenance the platform has
// accepted, ordered by ID.
func (c *Core) MaintenanceStarted(wave int) []InstanceID {
	ws := c.waves[wave]
	if ws == nil {
		return nil
	}
	var out []InstanceID
	for id := range ws.maintenanceStarted {
		out = append(out, id)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// advanceWaves advances all waves that aren't completed, at most once per check interval.
func (c *Core) advanceWaves(now time.Time) {
	if now.Before(c.nextWaveCheckAt) {
		return
	}
	openInstances := 0 // instances of waves that aren't completed
	defer func() {
		c.nextWaveCheckAt = now.Add(min(maxWaveCheckInterval, time.Duration(openInstances)*waveCheckPerInstance))
	}()
	c.endStalledReservations(now)
	for _, ws := range c.sortedWaves() {
		c.dropAlreadyMaintained(ws, now)
		if ws.completed {
			continue
		}
		openInstances += len(ws.Instances)
		if !ws.statusWritten {
			ws.statusWritten = true
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave})
		}
		if c.waveDone(ws) {
			ws.completed = true
			c.logDecision(Decision{Event: "wave-completed", Reason: fmt.Sprintf("wave %d after %s", ws.Wave, now.Sub(ws.receivedAt))})
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave, Done: true})
			continue
		}
		c.forecastWave(ws, now)
		c.advanceWave(ws, now)
	}
}

// maxRoundTime is the maximum duration of one round of a wave: the drain, then 3 s for the
// maintenance and for the instance list to show its end.
const maxRoundTime = drainGracePeriod + 3*time.Second

// forecastWave logs when a wave is expected to exceed its time limit, and when it no longer is.
func (c *Core) forecastWave(ws *waveState, now time.Time) {
	left := 0
	for _, id := range ws.Instances {
		if !ws.maintenanceStarted[id] && c.instances[id] != nil {
			left++
		}
	}
	rounds := (left + ws.MaxDown - 1) / max(1, ws.MaxDown)
	// The last round only has to start within the time limit.
	need := time.Duration(max(0, rounds-1)) * maxRoundTime
	late := now.Add(need).After(ws.receivedAt.Add(ws.Within))
	if late == ws.forecastLate {
		return
	}
	ws.forecastLate = late
	event := "wave-in-time"
	if late {
		event = "wave-late"
	}
	c.logDecision(Decision{Event: event, Reason: fmt.Sprintf("wave %d: %d instances left, %d down at once, takes up to %s more; %s of %s elapsed",
		ws.Wave, left, ws.MaxDown, need, now.Sub(ws.receivedAt).Round(100*time.Millisecond), ws.Within)})
}

// sortedWaves returns the waves ordered by number.
func (c *Core) sortedWaves() []*waveState {
	var out []*waveState
	for _, ws := range c.waves {
		out = append(out, ws)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Wave < out[b].Wave })
	return out
}

// openWaves returns the waves that are not completed, in no order.
func (c *Core) openWaves() []*waveState {
	var out []*waveState
	for _, ws := range c.waves {
		if !ws.completed {
			out = append(out, ws)
		}
	}
	return out
}

// isMaintenanceDue reports whether one of the waves still has to take the worker's instance down.
func (c *Core) isMaintenanceDue(w *worker, waves []*waveState) bool {
	if len(waves) == 0 {
		return false
	}
	id := c.instanceOfWorker[w.Worker]
	return slices.ContainsFunc(waves, func(ws *waveState) bool { return ws.members[id] && !ws.maintenanceStarted[id] })
}

// waveDone reports whether the maintenance of every instance of the wave that still exists
// has started.
func (c *Core) waveDone(ws *waveState) bool {
	if c.instanceListAt.IsZero() {
		return false
	}
	for _, id := range ws.Instances {
		if !ws.maintenanceStarted[id] && c.instances[id] != nil {
			return false
		}
	}
	return true
}

// waveCandidate is an instance waiting for maintenance.
type waveCandidate struct {
	id            InstanceID
	worker        *worker   // nil: it has none
	remainingWork float64   // as of worker.remainingWork
	reserveAfter  time.Time // as of worker.reserveAfter
}

// stillUpDelay is the time after an accepted order from which an instance list that still shows a
// spare instance as up proves that an earlier owner had its maintenance done. It is half the
// duration of a maintenance, and more than the lag of the list.
const stillUpDelay = 1200 * time.Millisecond

// dropAlreadyMaintained removes instances from the wave's down set whose maintenance order was
// accepted but did not take them down, because an earlier owner had their maintenance done.
func (c *Core) dropAlreadyMaintained(ws *waveState, now time.Time) {
	for id, d := range ws.down {
		if d.acceptedAt.IsZero() || d.seenMaintained {
			continue
		}
		w := c.currentWorker(d.incarnation)
		alive := w != nil && !w.ended && !w.answeredHoldSentAt.Before(d.acceptedAt)
		if w == nil && d.incarnation.worker == "" {
			i := c.instances[id]
			alive = i != nil && i.State == InstanceUp && c.instanceListAt.Sub(d.acceptedAt) > stillUpDelay
		}
		if !alive {
			continue
		}
		delete(ws.down, id)
		if w != nil {
			c.unreserve(w)
		}
		c.logDecision(Decision{Event: "already-maintained", Worker: d.incarnation.worker, Reason: string(id) + " is still up: an earlier owner had its maintenance done"})
	}
}

// advanceWave reserves instances so that they drain, and orders the maintenance of those that
// are ready, within the wave's limit of instances down.
func (c *Core) advanceWave(ws *waveState, now time.Time) {
	if !c.canSendInstanceOrders(now) || !c.isHandoverComplete(now) {
		return // it is not known yet how many instances the previous owner took down last
	}
	for _, cand := range c.reservedForWave(ws) {
		if len(ws.down) < ws.MaxDown && c.isReadyForMaintenance(cand.worker, now) {
			c.orderMaintenance(ws, cand, now)
			continue
		}
		c.drainOneByOne(cand.worker, now)
	}
	c.reserveForWave(ws, now)
	c.updateBlocked(ws, now)
}

// reserveForWave reserves further instances of the wave, and orders the maintenance of idle ones at once.
func (c *Core) reserveForWave(ws *waveState, now time.Time) {
	free := ws.MaxDown - len(ws.down) - len(c.reservedForWave(ws))
	if free <= 0 {
		return
	}
	plan := c.newDrainPlan(now)
	searches := 0
	for _, cand := range c.candidatesForWave(ws, now) {
		if free <= 0 || searches >= maxFailedSearches {
			return
		}
		if cand.worker != nil {
			if b := plan.allows(cand.worker); b != nil {
				if c.noteBlocked(ws, cand.worker, b, now) {
					searches++
				}
				continue
			}
		}
		free--
		if cand.worker == nil || len(cand.worker.runs) == 0 {
			c.orderMaintenance(ws, cand, now)
			continue
		}
		c.reserve(cand.worker, reservedMaintenance, now)
		plan.add(cand.worker)
		c.logDecision(Decision{Event: "worker-reserved", Worker: cand.worker.Worker, Reason: string(reservedMaintenance)})
	}
}

// reservedForWave returns the instances of the wave that are reserved and not down yet.
func (c *Core) reservedForWave(ws *waveState) []waveCandidate {
	var out []waveCandidate
	for _, id := range ws.Instances {
		w := c.workerOfInstance(id)
		_, down := ws.down[id]
		if w != nil && w.reserved == reservedMaintenance && !w.ended && !down && !ws.maintenanceStarted[id] && !c.isDownForOtherWave(ws, id) {
			out = append(out, waveCandidate{id: id, worker: w})
		}
	}
	return out
}

// candidatesForWave returns the instances that may be reserved: those that were not blocked yet, with the
// least remaining work first, then those whose pause ended first.
func (c *Core) candidatesForWave(ws *waveState, now time.Time) []waveCandidate {
	var out []waveCandidate
	for _, id := range ws.Instances {
		i := c.instances[id]
		_, down := ws.down[id]
		if i == nil || i.State != InstanceUp || ws.maintenanceStarted[id] || down || c.isDownForOtherWave(ws, id) {
			continue
		}
		w := c.workerOfInstance(id)
		if w == nil && i.Worker != "" || c.moves[id] != nil || !c.mayOrderInstance(id, now) {
			continue // its worker is not known yet, it is moving, or another owner may have ordered it
		}
		if w != nil && (w.ended || w.Draining || w.reserved != "" || now.Before(w.reserveAfter) || !c.runsKnown(w, now)) {
			continue
		}
		cand := waveCandidate{id: id, worker: w}
		if w != nil {
			cand.remainingWork, cand.reserveAfter = w.remainingWork(), w.reserveAfter
		}
		out = append(out, cand)
	}
	slices.SortStableFunc(out, func(a, b waveCandidate) int {
		return cmp.Or(a.reserveAfter.Compare(b.reserveAfter), cmp.Compare(a.remainingWork, b.remainingWork))
	})
	return out
}

// runsKnown reports whether all runs on the worker and their ends are known: it has answered a hold of
// this owner with a complete list, or all leases granted by earlier owners have expired.
func (c *Core) runsKnown(w *worker, now time.Time) bool {
	return !w.endsTruncated && (w.answeredThisOwner || !c.mayHaveEarlierLease(w.Worker, now))
}

// remainingWork returns the estimated core-seconds left of the runs on the worker. A
// long-running task counts as one second.
func (w *worker) remainingWork() float64 {
	sum := 0.0
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.LongRunning {
			sum += float64(spec.Need.CPUMilli) / 1000
			continue
		}
		left := spec.Estimate.Seconds() * float64(100-r.percent) / 100
		sum += left * float64(spec.Need.CPUMilli) / 1000
	}
	return sum
}

// isReadyForMaintenance reports whether a reserved worker may be taken down now: the disruption
// budgets allow it, and either only long-running tasks are left or the drain grace period is
// over.
func (c *Core) isReadyForMaintenance(w *worker, now time.Time) bool {
	if !canTakeDown(w, now) {
		return false
	}
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning && now.Sub(w.reservedAt) < drainGracePeriod {
			return false
		}
	}
	return true
}

// orderMaintenance orders the maintenance of an instance for a wave.
func (c *Core) orderMaintenance(ws *waveState, cand waveCandidate, now time.Time) {
	d := downInstance{orderedAt: now, incarnation: c.incarnationOn(&c.instances[cand.id].Instance)}
	ws.down[cand.id] = d
	if cand.worker != nil {
		c.reserve(cand.worker, reservedMaintenance, now) // nothing may start on an idle one any more
		cand.worker.endOrdered = true
	}
	c.logDecision(Decision{Event: "maintenance-ordered", Worker: d.incarnation.worker, Reason: string(cand.id)})
	c.effects.InstanceOrders = append(c.effects.InstanceOrders, InstanceOrder{Instance: cand.id, Wave: ws.Wave})
}

// OnInstanceOrderAnswer handles the platform's answer to a move or a maintenance order.
func (c *Core) OnInstanceOrderAnswer(o InstanceOrder, outcome DutyOutcome, now time.Time) {
	if o.Wave == 0 {
		c.onMoveOutcome(o, outcome, now)
		return
	}
	ws := c.waves[o.Wave]
	if ws == nil {
		return
	}
	w := c.workerOfInstance(o.Instance)
	switch outcome {
	case DutyDone:
		// The platform also answers this if an earlier owner had the maintenance done. In that
		// case the worker keeps running, as its next answer shows. Otherwise the instance list
		// shows the end of its incarnation.
		ws.maintenanceStarted[o.Instance] = true
		if d, down := ws.down[o.Instance]; down {
			d.acceptedAt = now
			ws.down[o.Instance] = d
		}
		c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: o.Wave, Done: ws.completed})
	case DutyUnanswered:
		// The maintenance may have started, so the instance still counts as down. The order is
		// repeated until the platform answers.
		c.effects.InstanceOrders = append(c.effects.InstanceOrders, o)
	case DutyFenced:
		c.markDutyFenced(o.Instance)
	default:
		delete(ws.down, o.Instance)
		if w != nil {
			c.unreserve(w)
			c.avoidWorkerUntil(w, now.Add(orderRetryDelay))
			w.reserveAfter = now.Add(refusedOrderPause)
		}
	}
	c.logDecision(Decision{Event: "maintenance-answer", Reason: string(o.Instance) + " " + outcome.String()})
}
