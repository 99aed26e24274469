package ownermodel

// normalise removes from a state what no later step depends on, so that fewer states differ.
func (x *execution) normalise() {
	for i := range x.w {
		w := &x.w[i]
		for e := range w.listed {
			w.ends[e].followed = w.ends[e].followed && !w.ends[e].lapsed
		}
	}
	if int(x.store.term) == x.bounds.Terms && x.store.holder != 0 {
		x.store.leaseLeft = x.bounds.StoreLease // no other daemon is elected
	}
	if x.d[0].term < x.d[1].term {
		x.d[0], x.d[1] = x.d[1], x.d[0]
		if x.store.holder != 0 {
			x.store.holder = daemons + 1 - x.store.holder
		}
	}
	if x.release != 0 && (x.release != x.store.term || x.store.holder == 0) {
		x.release = 0 // has no effect any more
	}
	for i := range x.d {
		x.d[i].leaving = x.d[i].leaving && x.holdsLock(i)
		x.normaliseDaemon(&x.d[i])
	}
	x.normaliseLives()
	if x.rules.Fence {
		x.dropFenced()
	}
}

// dropFenced removes what every worker that it concerns would refuse because of its term, and
// orders in flight that change nothing.
func (x *execution) dropFenced() {
	o := x.late
	w := &x.w[o.worker]
	grantsNothing := !x.outlives(o) && (o.until <= 0 && x.rules.RefuseLate || o.kind == holdOrder && o.until <= w.lease)
	refused := o.fence < w.fence && !x.restartsLeft() && !o.waits
	if refused || o.fence == w.fence && o.ack == 0 && !o.acked && grantsNothing {
		x.late = order{}
	}
	for i := range x.d {
		gone := !x.restartsLeft() && x.rules.LockCondition && !x.holdsLock(i) && x.d[i].phase == owning
		for w := range x.w {
			gone = gone && termOf(x.w[w].fence) > x.d[i].term
		}
		if gone {
			x.depose(&x.d[i])
		}
	}
	if !x.bounds.Late && x.rules.RunsByTerm {
		for w := range x.w {
			x.w[w].ended = [tasks]uint8{} // no order that passes the fence has a run number up to these
		}
	}
}

func (x *execution) normaliseDaemon(dm *daemon) {
	if !x.rules.HoldsBounded && !x.rules.StartsBounded {
		dm.certain = max(dm.certain, -1)
	}
	if dm.takenOver && !x.rules.LapseAfterWait {
		dm.age = 0
	}
	for t := range dm.tasks {
		v := &dm.tasks[t]
		v.inherited = v.inherited && !dm.takenOver
		v.whileHeld = v.whileHeld && x.rules.OnlyKnownTasks
		if v.done {
			*v = taskView{known: v.known, done: true}
		}
	}
	for w := range dm.workers {
		v := &dm.workers[w]
		v.whileHeld = v.whileHeld && x.rules.OnlyKnownWorker
		busy := v.truncated
		for t := range dm.tasks {
			busy = busy || dm.tasks[t].runs[w].number != 0
		}
		if !busy && x.rules.GrantsInFull {
			v.granted = min(v.granted, 0) // the next run comes with a new grant
		}
	}
}
