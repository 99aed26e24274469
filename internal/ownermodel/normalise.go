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
	for i := range x.d {
		x.normaliseDaemon(&x.d[i])
	}
}

func (x *execution) normaliseDaemon(dm *daemon) {
	if !x.rules.HoldsBounded && !x.rules.StartsBounded {
		dm.certain = max(dm.certain, -1)
	}
	if dm.takenOver {
		dm.age = 0
	}
	for t := range dm.tasks {
		v := &dm.tasks[t]
		v.inherited = v.inherited && !dm.takenOver
		v.whileHeld = v.whileHeld && x.rules.OnlyKnownTasks
		if v.done {
			*v = taskView{known: true, done: true}
		}
	}
	for w := range dm.workers {
		v := &dm.workers[w]
		v.whileHeld = v.whileHeld && x.rules.OnlyKnownWorker
		busy := false
		for t := range dm.tasks {
			busy = busy || dm.tasks[t].runs[w].number != 0
		}
		if !busy && x.rules.GrantsInFull {
			v.granted = min(v.granted, 0) // the next run comes with a new grant
		}
	}
}
