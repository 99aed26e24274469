package ownermodel

// tokensPerTerm is how many fencing tokens each owner has for a worker: two for each life.
const tokensPerTerm = 32

// token returns the fencing token of the owner's orders to a worker.
func (x *execution) token(dm *daemon, w int) uint8 {
	token := dm.term * tokensPerTerm
	if x.rules.LifeFence {
		token += 2 * dm.workers[w].life
	}
	if dm.workers[w].ackLate {
		token++
	}
	return token
}

// termOf returns the term of a fencing token.
func termOf(token uint8) uint8 { return token / tokensPerTerm }

// learnLife applies what a hold's answer tells of the worker's life. It reports whether the answer
// is used as a list of the worker's runs.
func (x *execution) learnLife(dm *daemon, w int) bool {
	v, life := &dm.workers[w], x.w[w].life
	heard := v.answered || v.unsettled > 0 // by this owner
	switch {
	case heard && v.life == life:
		return true
	case !heard:
		v.life = life
		if x.rules.SettledLives && v.settled < life {
			v.unsettled = x.bounds.LongLease
		}
		return true
	}
	*v = workerView{answered: !x.rules.LifeFence, granted: -1, life: life, settled: v.settled, unsettled: x.bounds.LongLease, ackLate: v.ackLate}
	return !x.rules.LifeFence
}

// latestLeasesEnded reports whether leases that workers may have granted to orders for former lives
// have ended, as far as the wait of a new owner depends on them.
func (x *execution) latestLeasesEnded(dm *daemon) bool {
	for w := range dm.workers {
		v := &dm.workers[w]
		unsettled := x.rules.SettledLives && !x.bounds.Unregistered && x.w[w].life > v.settled
		if x.w[w].up && !x.answeredFinally(dm, v) && (unsettled || x.rules.LongWait) && dm.quiet < x.bounds.LongLease {
			return false
		}
	}
	return !x.rules.FlightEnds || x.earlierStartsEnded(dm)
}

// answeredFinally reports whether the worker has listed all that earlier owners have started there.
func (x *execution) answeredFinally(dm *daemon, v *workerView) bool {
	return v.answered && (v.final || dm.takenOver || !x.rules.FlightEnds || x.bounds.Restarts == 0)
}

// earlierStartsEnded reports whether no start of an earlier owner can be carried out any more.
func (x *execution) earlierStartsEnded(dm *daemon) bool {
	return x.late.kind != startOrder || termOf(x.late.fence) >= dm.term
}

// earlierOrdersEnded reports whether no order of an earlier owner can be carried out any more.
func (x *execution) earlierOrdersEnded(dm *daemon) bool {
	return dm.term == 1 || x.bounds.Restarts == 0 ||
		!(x.late.kind != noOrder && termOf(x.late.fence) < dm.term) && (x.rules.QuietAtElection || dm.age >= x.longestWait(dm))
}

// inFlight reports whether the start of a run is in flight.
func (x *execution) inFlight(t, w int8, run uint8) bool {
	return x.late.kind == startOrder && x.late.worker == w && x.late.task == t && x.late.run == run
}

// keepUnsure records that an order which grants a lease was sent: a later life may have the runs.
func (x *execution) keepUnsure(dm *daemon, o order) {
	for t := range dm.tasks {
		if r := &dm.tasks[t].runs[o.worker]; r.unsure > 0 && o.grants {
			r.unsure = x.bounds.LongLease
		}
	}
}

// hasUnlisted reports whether the worker may have a run that no answer to a hold has listed.
func (dm *daemon) hasUnlisted(w int) bool {
	for t := range dm.tasks {
		if r := &dm.tasks[t].runs[w]; r.number != 0 && !r.listed {
			return true
		}
	}
	return false
}

// tickLives advances what depends on the longest lease.
func (x *execution) tickLives(dm *daemon) {
	if x.bounds.Restarts == 0 {
		return
	}
	if !x.earlierOrdersEnded(dm) {
		dm.quiet = 0
	} else if dm.term > 1 {
		dm.quiet = min(dm.quiet+1, x.bounds.LongLease)
	}
	for w := range dm.workers {
		v := &dm.workers[w]
		if v.answered && v.unsettled > 0 {
			v.unsettled--
		}
		if v.answered && v.unsettled == 0 {
			v.settled = max(v.settled, v.life)
		}
		for t := range dm.tasks {
			r := &dm.tasks[t].runs[w]
			switch {
			case r.unsure > 0 && x.late.grants && int(x.late.worker) == w:
				r.unsure = x.bounds.LongLease
			case r.unsure > 0:
				r.unsure--
			}
		}
	}
}

// outlives reports whether a later life of the worker than the one that an order in flight is meant
// for may grant a lease to it.
func (x *execution) outlives(o order) bool {
	return o.grants && (x.restartsLeft() || o.life != x.w[o.worker].life)
}

// normaliseLives removes what matters only to later lives if there are none.
func (x *execution) normaliseLives() {
	if x.bounds.Restarts == 0 {
		return
	}
	left := x.restartsLeft()
	if o := &x.late; o.kind != noOrder {
		o.acked = o.acked && left
		o.grants = x.outlives(*o)
		if o.waits && o.ack == 0 && !o.acked {
			x.late = order{}
		}
	}
	for w := range x.w {
		if !left {
			x.w[w].forgotten = 0
		}
	}
	for i := range x.d {
		dm := &x.d[i]
		if dm.phase == idle {
			continue
		}
		if dm.takenOver || !x.rules.SettledLives && !x.rules.LongWait {
			dm.quiet = 0
		}
		for w := range dm.workers {
			x.normaliseLife(dm, w)
		}
	}
}

// normaliseLife does so for what an owner knows of a worker.
func (x *execution) normaliseLife(dm *daemon, w int) {
	v, left := &dm.workers[w], x.restartsLeft()
	if o := &x.late; o.kind == noOrder || int(o.worker) != w || termOf(o.fence) != dm.term {
		v.ackLate = false // no order has a token between both
		if f := &x.w[w].fence; termOf(*f) == dm.term {
			*f -= *f % 2
		}
	}
	v.acked = v.acked && left
	v.final = v.final && !dm.takenOver
	v.unackable = v.unackable && (left || v.life != x.w[w].life)
	if !x.rules.LifeLease && !x.rules.SettledLives {
		v.settled = 0
	}
	for t := range dm.tasks {
		r := &dm.tasks[t].runs[w]
		r.listed = r.listed && (left || v.life != x.w[w].life)
		if !left && v.life == x.w[w].life && !(x.late.grants && int(x.late.worker) == w) {
			r.unsure = 0
		}
	}
}
