package owner

import (
	"fmt"
	"sort"
	"time"
)

// waveState is a wave and how far it is.
type waveState struct {
	WaveRequest
	members            map[InstanceID]bool // of Instances
	receivedAt         time.Time
	maintenanceStarted map[InstanceID]bool         // maintenance was accepted by the platform
	down               map[InstanceID]downInstance // ordered and not back yet
	statusWritten      bool                        // its status was written
	forecastLate       bool                        // it will not end in time, by the newest forecast
	completed          bool
}

// downInstance is an instance under maintenance.
type downInstance struct {
	orderedAt      time.Time   // when this owner ordered it; zero: another one did, perhaps for another wave
	incarnation    incarnation // before its maintenance; without a worker for a spare instance
	seenMaintained bool        // the instance list has shown it under maintenance

	acceptedAt time.Time // when the platform accepted the order; zero: not yet
}

// Figures of maintenance.
const (
	// drainGracePeriod is how long a wave waits for the tasks on an instance to
	// end by themselves: most are shorter, and the rest is stopped.
	drainGracePeriod = 2500 * time.Millisecond
	// waveCheckPerInstance is the pause between two looks at the waves for each instance of
	// them, as a look goes over all: a wave of 570 is looked at 22 times a second.
	// waveMostPause is a tenth of what the shortest step of a wave takes.
	waveCheckPerInstance = 80 * time.Microsecond
	maxWaveCheckInterval = 100 * time.Millisecond
	// orderRetryDelay is the pause before an order for an instance is sent again.
	orderRetryDelay = 500 * time.Millisecond
	// MaxDutyLeaseAge is how long ago the lease in the store may have been renewed for
	// an order to be sent. It may have been revoked since, and another owner elected.
	// A renewal each 500 ms that a slow store answers after 300 ms fits.
	MaxDutyLeaseAge = 900 * time.Millisecond
	// DutyHandoverMargin is added to the pause after a change of owner: an order of the old
	// one may be sent so late, and be on its way.
	DutyHandoverMargin = MaxDutyLeaseAge + maxOrderTransit
	// maxOrderTransit is how long an order takes to reach the platform at most, and
	// what clocks differ in the rate at which they run.
	maxOrderTransit = 300 * time.Millisecond
	// maxInstanceListAge is how old the instance list may be for an order.
	maxInstanceListAge = 3 * time.Second
)

// observeInstance takes what the instance list says of an instance of the wave, the only one that names
// it or one of several. Of several each asks for the maintenance once the instance is back: the
// platform knows for which it was.
func (ws *waveState) observeInstance(i Instance, only bool) {
	d, down := ws.down[i.ID]
	switch {
	case i.State == InstanceInMaintenance:
		if only || !d.orderedAt.IsZero() {
			ws.maintenanceStarted[i.ID] = true
		}
		d.seenMaintained = true
		ws.down[i.ID] = d
	case down && i.State == InstanceUp && (d.seenMaintained || i.Worker != d.incarnation.worker):
		delete(ws.down, i.ID)
	}
}

// OnWave takes an operators' request for a wave. begun are instances whose
// maintenance an earlier owner has recorded.
func (c *Core) OnWave(req WaveRequest, begun []InstanceID, completed bool, now time.Time) {
	if c.waves[req.Wave] != nil {
		return
	}
	ws := &waveState{WaveRequest: req, members: map[InstanceID]bool{}, receivedAt: now, maintenanceStarted: map[InstanceID]bool{}, down: map[InstanceID]downInstance{}, completed: completed, statusWritten: completed}
	for _, id := range begun {
		ws.maintenanceStarted[id] = true
	}
	for _, id := range req.Instances {
		ws.members[id] = true
	}
	c.waves[req.Wave] = ws
	c.note(Decision{Event: "wave-known", Reason: req.Within.String()})
}

// MaintenanceStarted returns the instances of a wave whose maintenance has begun.
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

// advanceWaves advances the waves.
func (c *Core) advanceWaves(now time.Time) {
	if now.Before(c.nextWaveCheckAt) {
		return
	}
	open := 0 // instances of waves that go on
	defer func() {
		c.nextWaveCheckAt = now.Add(min(maxWaveCheckInterval, time.Duration(open)*waveCheckPerInstance))
	}()
	for _, ws := range c.sortedWaves() {
		if ws.completed {
			continue
		}
		open += len(ws.Instances)
		if !ws.statusWritten {
			ws.statusWritten = true
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave})
		}
		if c.waveDone(ws) {
			ws.completed = true
			c.note(Decision{Event: "wave-completed", Reason: now.Sub(ws.receivedAt).String()})
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave, Done: true})
			continue
		}
		c.forecastWave(ws, now)
		c.advanceWave(ws, now)
	}
}

// maxRoundTime is what one round of a wave takes at most: its tasks end by themselves
// or are stopped, the maintenance, and the list that shows its end.
const maxRoundTime = drainGracePeriod + 3*time.Second

// forecastWave says in the log when a wave is going to miss its limit, and when that
// is over.
func (c *Core) forecastWave(ws *waveState, now time.Time) {
	left := 0
	for _, id := range ws.Instances {
		if !ws.maintenanceStarted[id] && c.instances[id] != nil {
			left++
		}
	}
	rounds := (left + ws.MaxDown - 1) / max(1, ws.MaxDown)
	// The last round counts as in time once it has begun.
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
	c.note(Decision{Event: event, Reason: fmt.Sprintf("wave %d: %d instances are left, %d at once, which takes up to %s; %s of %s have passed",
		ws.Wave, left, ws.MaxDown, need, now.Sub(ws.receivedAt).Round(100*time.Millisecond), ws.Within)})
}

func (c *Core) sortedWaves() []*waveState {
	var out []*waveState
	for _, ws := range c.waves {
		out = append(out, ws)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Wave < out[b].Wave })
	return out
}

// waveDone reports whether every instance of the wave that still is there has
// begun its maintenance.
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

// waveCandidate is an instance that waits for its maintenance.
type waveCandidate struct {
	id            InstanceID
	worker        *worker // nil: nothing runs on it
	remainingWork float64 // core-seconds that are left on it
}

// stillUpDelay is how long after the platform accepted an order the instance list
// must still show a spare instance as up to prove that its maintenance was
// over already. It is half of what maintenance takes, and more than the list's
// lag.
const stillUpDelay = 1200 * time.Millisecond

// dropAlreadyMaintained forgets instances that were not taken down by the order, because
// their maintenance was over before.
func (c *Core) dropAlreadyMaintained(ws *waveState, now time.Time) {
	for id, d := range ws.down {
		if d.acceptedAt.IsZero() || d.seenMaintained {
			continue
		}
		w := c.currentWorker(d.incarnation)
		alive := w != nil && !w.ended && w.answeredHoldSentAt.After(d.acceptedAt)
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
		c.note(Decision{Event: "maintained-before", Worker: d.incarnation.worker, Reason: string(id)})
	}
}

// advanceWave reserves instances, so that their tasks end, and maintains those
// that are ready.
func (c *Core) advanceWave(ws *waveState, now time.Time) {
	if !c.canSendInstanceOrders(now) || !c.isHandoverComplete(now) {
		return // how many an earlier owner has just taken down is not known yet
	}
	c.dropAlreadyMaintained(ws, now)
	for _, cand := range c.reservedForWave(ws) {
		if len(ws.down) >= ws.MaxDown {
			break
		}
		if c.isDrained(cand.worker, now) {
			c.orderMaintenance(ws, cand, now)
			continue
		}
		c.thinOut(cand.worker, now)
	}
	free := ws.MaxDown - len(ws.down) - len(c.reservedForWave(ws))
	if free <= 0 {
		return
	}
	for _, cand := range c.candidatesForWave(ws, now) {
		if free <= 0 {
			return
		}
		if cand.worker == nil || len(cand.worker.runs) == 0 {
			if len(ws.down) < ws.MaxDown {
				c.orderMaintenance(ws, cand, now)
				free--
			}
			continue
		}
		if !canTakeDown(cand.worker, now) && !canThinOut(cand.worker, now) {
			continue // one that was reserved a moment ago has tasks of the same step
		}
		c.reserve(cand.worker, reservedMaintenance, now)
		free--
		c.note(Decision{Event: "worker-reserved", Worker: cand.worker.Worker, Reason: string(reservedMaintenance)})
	}
}

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

// candidatesForWave returns the instances that may be reserved, cheapest first.
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
			continue // on its way to a pool: what runs there is not known yet
		}
		if w != nil && (w.ended || w.Draining || w.reserved != "" || !c.runsKnown(w, now)) {
			continue
		}
		cand := waveCandidate{id: id, worker: w}
		if w != nil {
			if !canTakeDown(w, now) && !canThinOut(w, now) {
				continue
			}
			cand.remainingWork = w.remainingWork()
		}
		out = append(out, cand)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].remainingWork < out[b].remainingWork })
	return out
}

// runsKnown reports whether what runs on the worker is known: it has answered this
// owner, or every lease of an earlier one has ended.
func (c *Core) runsKnown(w *worker, now time.Time) bool {
	return w.heldByUs || now.Sub(c.startedAt) > c.maxLeaseDuration()
}

// remainingWork returns the core-seconds that are left of what runs on the worker.
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

// isDrained reports whether a reserved worker may be taken away now.
func (c *Core) isDrained(w *worker, now time.Time) bool {
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

func (c *Core) orderMaintenance(ws *waveState, cand waveCandidate, now time.Time) {
	d := downInstance{orderedAt: now, incarnation: c.incarnationOn(&c.instances[cand.id].Instance)}
	ws.down[cand.id] = d
	if cand.worker != nil {
		cand.worker.endOrdered = true
	}
	c.note(Decision{Event: "maintenance-ordered", Worker: d.incarnation.worker, Reason: string(cand.id)})
	c.effects.InstanceOrders = append(c.effects.InstanceOrders, InstanceOrder{Instance: cand.id, Wave: ws.Wave})
}

// OnInstanceOrder takes the platform's answer to an order for an instance.
func (c *Core) OnInstanceOrder(o InstanceOrder, outcome DutyOutcome, now time.Time) {
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
		// The platform says so too if an earlier owner had it done. Then the worker
		// lives on, which its next answer shows; otherwise the instance list shows
		// that its life is over.
		ws.maintenanceStarted[o.Instance] = true
		if d, down := ws.down[o.Instance]; down {
			d.acceptedAt = now
			ws.down[o.Instance] = d
		}
		c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: o.Wave, Done: ws.completed})
	case DutyUnanswered:
		// It may have begun: it stays among those that are down and is asked for
		// again until the platform answers.
		c.effects.InstanceOrders = append(c.effects.InstanceOrders, o)
	case DutyFenced:
		c.fenced = true
	default:
		delete(ws.down, o.Instance)
		if w != nil {
			c.unreserve(w)
			c.avoidWorkerUntil(w, now.Add(orderRetryDelay))
		}
	}
	c.note(Decision{Event: "maintenance-answer", Reason: string(o.Instance) + " " + outcome.String()})
}

// reserve keeps new tasks from the worker.
func (c *Core) reserve(w *worker, why reservation, now time.Time) {
	w.reserved = why
	w.reservedAt = now
	c.maintenanceWorkers.put(w, why == reservedMaintenance && !w.ended)
	c.markWorkerChanged(w)
}

// unreserve lets a worker have new tasks again.
func (c *Core) unreserve(w *worker) {
	w.reserved = ""
	w.endOrdered = false
	c.maintenanceWorkers.put(w, false)
	c.markWorkerChanged(w)
}
