package owner

import (
	"fmt"
	"sort"
	"time"
)

// waveState is a wave and how far it is.
type waveState struct {
	WaveRequest
	member    map[InstanceID]bool // of Instances
	since     time.Time
	begun     map[InstanceID]bool      // maintenance was accepted by the platform
	down      map[InstanceID]downSince // ordered and not back yet
	announced bool                     // its status was written
	late      bool                     // it will not end in time, by the newest forecast
	completed bool
}

// downSince is an instance under maintenance.
type downSince struct {
	at   time.Time   // when this owner ordered it; zero: another one did, perhaps for another wave
	life incarnation // before its maintenance; without a worker for a spare instance
	seen bool        // the instance list has shown it under maintenance

	accepted time.Time // when the platform accepted the order; zero: not yet
}

// Figures of maintenance.
const (
	// drainPatience is how long a wave waits for the tasks on an instance to
	// end by themselves: most are shorter, and the rest is stopped.
	drainPatience = 2500 * time.Millisecond
	// wavePerInstance is the pause between two looks at the waves for each instance of
	// them, as a look goes over all: a wave of 570 is looked at 22 times a second.
	// waveMostPause is a tenth of what the shortest step of a wave takes.
	wavePerInstance = 80 * time.Microsecond
	waveMostPause   = 100 * time.Millisecond
	// orderRetry is the pause before an order for an instance is sent again.
	orderRetry = 500 * time.Millisecond
	// DutyLeaseAge is how long ago the lease in the store may have been renewed for
	// an order to be sent. It may have been revoked since, and another owner elected.
	// A renewal each 500 ms that a slow store answers after 300 ms fits.
	DutyLeaseAge = 900 * time.Millisecond
	// DutyMargin is added to the pause after a change of owner: an order of the old
	// one may be sent so late, and be on its way.
	DutyMargin = DutyLeaseAge + orderFlight
	// orderFlight is how long an order takes to reach the platform at most, and
	// what clocks differ in the rate at which they run.
	orderFlight = 300 * time.Millisecond
	// instanceListAge is how old the instance list may be for an order.
	instanceListAge = 3 * time.Second
)

// observe takes what the instance list says of an instance of the wave, the only one that names
// it or one of several. Of several each asks for the maintenance once the instance is back: the
// platform knows for which it was.
func (ws *waveState) observe(i Instance, only bool) {
	d, down := ws.down[i.ID]
	switch {
	case i.State == InstanceInMaintenance:
		if only || !d.at.IsZero() {
			ws.begun[i.ID] = true
		}
		d.seen = true
		ws.down[i.ID] = d
	case down && i.State == InstanceUp && (d.seen || i.Worker != d.life.worker):
		delete(ws.down, i.ID)
	}
}

// OnWave takes an operators' request for a wave. begun are instances whose
// maintenance an earlier owner has recorded.
func (c *Core) OnWave(req WaveRequest, begun []InstanceID, completed bool, now time.Time) {
	if c.waves[req.Wave] != nil {
		return
	}
	ws := &waveState{WaveRequest: req, member: map[InstanceID]bool{}, since: now, begun: map[InstanceID]bool{}, down: map[InstanceID]downSince{}, completed: completed, announced: completed}
	for _, id := range begun {
		ws.begun[id] = true
	}
	for _, id := range req.Instances {
		ws.member[id] = true
	}
	c.waves[req.Wave] = ws
	c.note(Decision{Event: "wave-known", Reason: req.Within.String()})
}

// Begun returns the instances of a wave whose maintenance has begun.
func (c *Core) Begun(wave int) []InstanceID {
	ws := c.waves[wave]
	if ws == nil {
		return nil
	}
	var out []InstanceID
	for id := range ws.begun {
		out = append(out, id)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// maintain advances the waves.
func (c *Core) maintain(now time.Time) {
	if now.Before(c.nextWaveCheckAt) {
		return
	}
	open := 0 // instances of waves that go on
	defer func() { c.nextWaveCheckAt = now.Add(min(waveMostPause, time.Duration(open)*wavePerInstance)) }()
	for _, ws := range c.sortedWaves() {
		if ws.completed {
			continue
		}
		open += len(ws.Instances)
		if !ws.announced {
			ws.announced = true
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave})
		}
		if c.waveDone(ws) {
			ws.completed = true
			c.note(Decision{Event: "wave-completed", Reason: now.Sub(ws.since).String()})
			c.effects.WaveStatuses = append(c.effects.WaveStatuses, WaveStatus{Wave: ws.Wave, Done: true})
			continue
		}
		c.forecast(ws, now)
		c.advanceWave(ws, now)
	}
}

// roundTime is what one round of a wave takes at most: its tasks end by themselves
// or are stopped, the maintenance, and the list that shows its end.
const roundTime = drainPatience + 3*time.Second

// forecast says in the log when a wave is going to miss its limit, and when that
// is over.
func (c *Core) forecast(ws *waveState, now time.Time) {
	left := 0
	for _, id := range ws.Instances {
		if !ws.begun[id] && c.instances[id] != nil {
			left++
		}
	}
	rounds := (left + ws.MaxDown - 1) / max(1, ws.MaxDown)
	// The last round counts as in time once it has begun.
	need := time.Duration(max(0, rounds-1)) * roundTime
	late := now.Add(need).After(ws.since.Add(ws.Within))
	if late == ws.late {
		return
	}
	ws.late = late
	event := "wave-in-time"
	if late {
		event = "wave-late"
	}
	c.note(Decision{Event: event, Reason: fmt.Sprintf("wave %d: %d instances are left, %d at once, which takes up to %s; %s of %s have passed",
		ws.Wave, left, ws.MaxDown, need, now.Sub(ws.since).Round(100*time.Millisecond), ws.Within)})
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
		if !ws.begun[id] && c.instances[id] != nil {
			return false
		}
	}
	return true
}

// candidate is an instance that waits for its maintenance.
type candidate struct {
	id   InstanceID
	w    *worker // nil: nothing runs on it
	cost float64 // core-seconds that are left on it
}

// doneBefore is how long after the platform accepted an order the instance list
// must still show a spare instance as up to prove that its maintenance was
// over already. It is half of what maintenance takes, and more than the list's
// lag.
const doneBefore = 1200 * time.Millisecond

// stillUp forgets instances that were not taken down by the order, because
// their maintenance was over before.
func (c *Core) stillUp(ws *waveState, now time.Time) {
	for id, d := range ws.down {
		if d.accepted.IsZero() || d.seen {
			continue
		}
		w := c.currentWorker(d.life)
		alive := w != nil && !w.ended && w.answeredHoldSentAt.After(d.accepted)
		if w == nil && d.life.worker == "" {
			i := c.instances[id]
			alive = i != nil && i.State == InstanceUp && c.instanceListAt.Sub(d.accepted) > doneBefore
		}
		if !alive {
			continue
		}
		delete(ws.down, id)
		if w != nil {
			c.unreserve(w)
		}
		c.note(Decision{Event: "maintained-before", Worker: d.life.worker, Reason: string(id)})
	}
}

// advanceWave reserves instances, so that their tasks end, and maintains those
// that are ready.
func (c *Core) advanceWave(ws *waveState, now time.Time) {
	if !c.mayDoDuty(now) || !c.handedOver(now) {
		return // how many an earlier owner has just taken down is not known yet
	}
	c.stillUp(ws, now)
	for _, cand := range c.reservedFor(ws) {
		if len(ws.down) >= ws.MaxDown {
			break
		}
		if c.readyToGo(cand.w, now) {
			c.orderMaintenance(ws, cand, now)
			continue
		}
		c.thinOut(cand.w, now)
	}
	free := ws.MaxDown - len(ws.down) - len(c.reservedFor(ws))
	if free <= 0 {
		return
	}
	for _, cand := range c.nextForWave(ws, now) {
		if free <= 0 {
			return
		}
		if cand.w == nil || len(cand.w.runs) == 0 {
			if len(ws.down) < ws.MaxDown {
				c.orderMaintenance(ws, cand, now)
				free--
			}
			continue
		}
		if !canTakeDown(cand.w, now) && !canThinOut(cand.w, now) {
			continue // one that was reserved a moment ago has tasks of the same step
		}
		c.reserve(cand.w, reservedMaintenance, now)
		free--
		c.note(Decision{Event: "worker-reserved", Worker: cand.w.Worker, Reason: string(reservedMaintenance)})
	}
}

func (c *Core) reservedFor(ws *waveState) []candidate {
	var out []candidate
	for _, id := range ws.Instances {
		w := c.workerOf(id)
		_, down := ws.down[id]
		if w != nil && w.reserved == reservedMaintenance && !w.ended && !down && !ws.begun[id] && !c.isDownForOther(ws, id) {
			out = append(out, candidate{id: id, w: w})
		}
	}
	return out
}

// nextForWave returns the instances that may be reserved, cheapest first.
func (c *Core) nextForWave(ws *waveState, now time.Time) []candidate {
	var out []candidate
	for _, id := range ws.Instances {
		i := c.instances[id]
		_, down := ws.down[id]
		if i == nil || i.State != InstanceUp || ws.begun[id] || down || c.isDownForOther(ws, id) {
			continue
		}
		w := c.workerOf(id)
		if w == nil && i.Worker != "" || c.moves[id] != nil || !c.mayOrder(id, now) {
			continue // on its way to a pool: what runs there is not known yet
		}
		if w != nil && (w.ended || w.Draining || w.reserved != "" || !c.runsKnown(w, now)) {
			continue
		}
		cand := candidate{id: id, w: w}
		if w != nil {
			if !canTakeDown(w, now) && !canThinOut(w, now) {
				continue
			}
			cand.cost = w.load()
		}
		out = append(out, cand)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].cost < out[b].cost })
	return out
}

// runsKnown reports whether what runs on the worker is known: it has answered this
// owner, or every lease of an earlier one has ended.
func (c *Core) runsKnown(w *worker, now time.Time) bool {
	return w.heldByUs || now.Sub(c.startedAt) > c.maxLeaseDuration()
}

// load returns the core-seconds that are left of what runs on the worker.
func (w *worker) load() float64 {
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

// readyToGo reports whether a reserved worker may be taken away now.
func (c *Core) readyToGo(w *worker, now time.Time) bool {
	if !canTakeDown(w, now) {
		return false
	}
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning && now.Sub(w.reservedAt) < drainPatience {
			return false
		}
	}
	return true
}

func (c *Core) orderMaintenance(ws *waveState, cand candidate, now time.Time) {
	d := downSince{at: now, life: c.incarnationOn(&c.instances[cand.id].Instance)}
	ws.down[cand.id] = d
	if cand.w != nil {
		cand.w.endOrdered = true
	}
	c.note(Decision{Event: "maintenance-ordered", Worker: d.life.worker, Reason: string(cand.id)})
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
	w := c.workerOf(o.Instance)
	switch outcome {
	case DutyDone:
		// The platform says so too if an earlier owner had it done. Then the worker
		// lives on, which its next answer shows; otherwise the instance list shows
		// that its life is over.
		ws.begun[o.Instance] = true
		if d, down := ws.down[o.Instance]; down {
			d.accepted = now
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
			c.avoidWorkerUntil(w, now.Add(orderRetry))
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
