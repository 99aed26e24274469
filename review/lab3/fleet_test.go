package lab3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Times and limits of workers by PROTOCOL.md and the bounds in the settings.
const (
	maxHold           = 10 * time.Second
	maxListedEnds     = 500
	heartbeatInterval = 1500 * time.Millisecond
	migrateTime       = 1500 * time.Millisecond
	maintenanceTime   = 2 * time.Second
	startupTime       = 300 * time.Millisecond // of a task that lasts
	clockStartMs      = 1000
)

// machine is a machine of the platform. It runs one worker at a time.
type machine struct {
	id, pool, zone, rack string
	cpu                  int // thousandths of a core
	memMB                int
	state                string // up, moving, upkeep or down
	worker               *worker
	maintained           map[int]bool // by wave
}

// step is what a stand-in worker has to know of a step of a job.
type step struct {
	cpu, memMB int
	duration   time.Duration // 0: it lasts
}

// run is a run of a task on a worker.
type run struct {
	task  string
	run   uint64
	began time.Time
	step  step
	end   *time.Timer
}

// ended is an entry in a worker's list of ends.
type ended struct {
	seq  uint64
	task string
	run  uint64
	how  string
}

// worker is one life of a machine.
type worker struct {
	id      string
	service string
	machine *machine
	address string
	server  *http.Server
	born    time.Time

	fence     uint64
	lease     time.Time
	lapse     *time.Timer
	active    map[string]*run
	ends      []ended
	lastSeq   uint64
	highest   map[string]uint64 // highest run of each task that was stopped or has ended
	changed   chan struct{}     // closed and replaced at the end of a run
	dead      bool
	heartbeat int
}

// fleet is a stand-in for the platform's machines and their workers, which all guard their capacity.
type fleet struct {
	mu       sync.Mutex
	store    *store
	record   *record
	machines map[string]*machine
	steps    map[string]step // by JOB.STEP
	running  map[string]map[*worker]uint64
	lastRun  map[string]time.Time // end of the last run of each task
	count    int

	twice []string // runs of a task at the same time
	fails int      // ends that workers listed as failed
	early []string // starts after the task has ended done

	done  map[string]bool
	noted map[string]bool // tasks of which an end done was taken note of

	losesStart func(w *worker, o order) bool // reports whether a start gets no answer; nil: none does
}

func newFleet(s *store, rec *record) *fleet {
	f := &fleet{store: s, record: rec, machines: map[string]*machine{}, steps: map[string]step{}, running: map[string]map[*worker]uint64{}, lastRun: map[string]time.Time{}, done: map[string]bool{}, noted: map[string]bool{}}
	go f.sendHeartbeats()
	return f
}

// add adds a machine, which comes up with a worker.
func (f *fleet) add(id, pool, zone, rack string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{id: id, pool: pool, zone: zone, rack: rack, cpu: 32_000, memMB: 131_072, maintained: map[int]bool{}}
	f.machines[id] = m
	f.startWorker(m)
}

// startWorker brings a machine up with a new worker. The caller holds mu.
func (f *fleet) startWorker(m *machine) {
	f.count++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no port is free
	}
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+f.count), service: m.pool, machine: m, address: listener.Addr().String(), born: time.Now(),
		active: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	m.state, m.worker = "up", w
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { f.serveWorker(w, rw, r) })}
	go func() { _ = w.server.Serve(listener) }() // ends with stopWorker
	f.register(w)
	f.record.log("worker %s of machine %s is up in pool %s", w.id, m.id, m.pool)
}

// register writes a worker's entry in the store. The caller holds mu.
func (f *fleet) register(w *worker) {
	w.heartbeat++
	f.store.put("servers/"+w.id, object{
		"service": w.service, "address": w.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": object{"cpu": w.machine.cpu, "memMb": w.machine.memMB, "gpu": 0}, "labels": []string{"a", w.machine.rack},
		"clockMs": w.clockMs(), "seq": w.heartbeat, "born": w.born.UnixMilli(),
	})
}

// sendHeartbeats writes the workers' entries now and then, as long as the process runs.
func (f *fleet) sendHeartbeats() {
	for range time.Tick(heartbeatInterval) {
		f.mu.Lock()
		for _, m := range f.machines {
			if m.worker != nil && !m.worker.dead {
				f.register(m.worker)
			}
		}
		f.mu.Unlock()
	}
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() + clockStartMs }

// stopWorker ends a worker and all that runs on it. The caller holds mu.
func (f *fleet) stopWorker(w *worker, why string) {
	if w == nil || w.dead {
		return
	}
	w.dead = true
	for _, r := range w.active {
		if r.end != nil {
			r.end.Stop()
		}
		f.noteEnd(w, r, why)
	}
	close(w.changed)
	if why == crashed {
		time.AfterFunc(silentIntervals*heartbeatInterval, func() { f.store.remove("servers/" + w.id) })
	} else {
		f.store.remove("servers/" + w.id)
	}
	if why != crashed {
		go func() { _ = w.server.Close() }()
	}
	f.record.log("worker %s of machine %s has ended: %s", w.id, w.machine.id, why)
}

// crashed is why a worker ended that crashed.
const crashed = "it crashed"

// silentIntervals is how many heartbeats a worker has to miss until its entry is removed.
const silentIntervals = 3

// crash ends the worker of a machine, if it is up, and starts a new one after a while.
func (f *fleet) crash(id string, downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m.state != "up" {
		return
	}
	m.state = "down"
	f.stopWorker(m.worker, crashed)
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startWorker(m)
	})
}

// restart ends the life of a worker silently and begins its next one after a while, under the same id and at the same
// address. then is called at that moment, with mu held.
func (f *fleet) restart(w *worker, downtime time.Duration, then func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.dead = true
	if w.lapse != nil {
		w.lapse.Stop()
	}
	for _, r := range w.active {
		if r.end != nil {
			r.end.Stop()
		}
		f.noteEnd(w, r, crashed)
	}
	close(w.changed)
	f.record.log("worker %s has ended: %s", w.id, crashed)
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.born, w.dead = time.Now(), false
		w.fence, w.lease, w.ends, w.lastSeq, w.heartbeat = 0, time.Time{}, nil, 0, 0
		w.active, w.highest, w.changed = map[string]*run{}, map[string]uint64{}, make(chan struct{})
		f.record.log("worker %s is up again under the same id", w.id)
		f.register(w)
		then()
	})
}

// serveWorker serves the calls to a worker.
func (f *fleet) serveWorker(w *worker, rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	f.mu.Lock()
	silent := w.dead || f.losesStart != nil && r.URL.Path == "/-/run-start" && f.losesStart(w, o)
	f.mu.Unlock()
	if silent { // as a worker that has crashed
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		reply(rw, http.StatusMisdirectedRequest, object{})
		return
	}
	status, body := http.StatusBadRequest, object{}
	switch r.URL.Path {
	case "/-/run-start":
		status, body = f.start(w, o)
	case "/-/run-stop":
		status, body = f.stop(w, o)
	case "/-/pace":
		status, body = http.StatusOK, object{"clockMs": w.clockMs()}
	case "/-/hold":
		status, body = f.hold(w, o, r)
	}
	if status == 0 { // it has crashed meanwhile
		<-r.Context().Done()
		return
	}
	reply(rw, status, body)
}

// order is the body of a call to a worker.
type order struct {
	Task       string
	Run        uint64
	Spec       string
	UntilMs    int64
	Fence      uint64
	Checkpoint string
	LastSeen   uint64
	WaitMs     int64
}

// admit checks the fence of an order. The caller holds mu.
func (w *worker) admit(o order) (refusal object) {
	if w.dead || o.Fence < w.fence {
		return w.refusal("fence")
	}
	w.fence = o.Fence
	return nil
}

func (w *worker) refusal(reason string) object {
	return object{"clockMs": w.clockMs(), "reason": reason}
}

func (f *fleet) start(w *worker, o order) (int, object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.carryOutStart(w, o)
}

// carryOutStart is start for a caller that holds mu.
func (f *fleet) carryOutStart(w *worker, o order) (int, object) {
	if refusal := w.admit(o); refusal != nil {
		return http.StatusConflict, refusal
	}
	if o.UntilMs <= w.clockMs() {
		return http.StatusConflict, w.refusal("late")
	}
	f.extendLease(w, o.UntilMs)
	if r := w.active[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, object{"clockMs": w.clockMs()}
	}
	if w.active[o.Task] != nil || o.Run <= w.highest[o.Task] {
		return http.StatusConflict, w.refusal("old")
	}
	s, known := f.steps[stepOf(o.Task)]
	if !known {
		f.record.log("UNASKED: worker %s is told to start %s, which nobody sent", w.id, o.Task)
		return http.StatusBadRequest, object{"clockMs": w.clockMs()}
	}
	cpu, memMB := s.cpu, s.memMB
	for _, r := range w.active {
		cpu, memMB = cpu+r.step.cpu, memMB+r.step.memMB
	}
	if cpu > w.machine.cpu || memMB > w.machine.memMB {
		return http.StatusConflict, w.refusal("room")
	}
	f.begin(w, o, s)
	return http.StatusOK, object{"clockMs": w.clockMs()}
}

// begin starts a run and checks that no other one of its task is at work. The caller holds mu.
func (f *fleet) begin(w *worker, o order, s step) {
	r := &run{task: o.Task, run: o.Run, began: time.Now(), step: s}
	w.active[o.Task] = r
	if s.duration > 0 {
		r.end = time.AfterFunc(s.duration, func() { f.endRun(w, r, "done") })
	}
	f.record.log("start of %s run %d fence %d on worker %s of service %s", o.Task, o.Run, o.Fence, w.id, w.service)
	if f.noted[o.Task] {
		f.early = append(f.early, fmt.Sprintf("%s run %d starts on %s of %s after the task has ended done and that was taken note of", o.Task, o.Run, w.id, w.service))
		f.record.log("TWICE: %s", f.early[len(f.early)-1])
	}
	for other, number := range f.running[o.Task] {
		f.twice = append(f.twice, fmt.Sprintf("%s runs as %d on %s of %s and as %d on %s of %s", o.Task, number, other.id, other.service, o.Run, w.id, w.service))
		f.record.log("TWICE: %s", f.twice[len(f.twice)-1])
	}
	if f.running[o.Task] == nil {
		f.running[o.Task] = map[*worker]uint64{}
	}
	f.running[o.Task][w] = o.Run
}

// noteEnd records the end of a run. The caller holds mu.
func (f *fleet) noteEnd(w *worker, r *run, how string) {
	delete(f.running[r.task], w)
	f.lastRun[r.task] = time.Now()
	f.done[r.task] = f.done[r.task] || how == "done"
	if how == "failed" {
		f.fails++
	}
	f.record.log("end of %s run %d on worker %s of service %s: %s", r.task, r.run, w.id, w.service, how)
}

// endRun ends a run, unless it has ended before.
func (f *fleet) endRun(w *worker, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(w, r, how)
}

// finish is endRun for a caller that holds mu.
func (f *fleet) finish(w *worker, r *run, how string) {
	if w.dead || w.active[r.task] != r {
		return
	}
	if r.end != nil {
		r.end.Stop()
	}
	delete(w.active, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastSeq++
	w.ends = append(w.ends, ended{w.lastSeq, r.task, r.run, how})
	f.noteEnd(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *fleet) stop(w *worker, o order) (int, object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if refusal := w.admit(o); refusal != nil {
		return http.StatusConflict, refusal
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.active[o.Task]; r != nil && r.run <= o.Run {
		f.finish(w, r, "stopped")
	}
	return http.StatusOK, object{"clockMs": w.clockMs()}
}

func (f *fleet) hold(w *worker, o order, req *http.Request) (int, object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if refusal := w.admit(o); refusal != nil {
		return http.StatusConflict, refusal
	}
	if o.UntilMs > 0 {
		f.extendLease(w, o.UntilMs)
	}
	first := sort.Search(len(w.ends), func(i int) bool { return w.ends[i].seq > o.LastSeen })
	for _, e := range w.ends[:first] {
		if e.how == "done" {
			f.noted[e.task] = true
			f.record.log("the end done of %s run %d on worker %s is taken note of", e.task, e.run, w.id)
		}
	}
	w.ends = w.ends[first:]
	end := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for over := o.WaitMs == 0; !over && len(w.ends) == 0; {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-req.Context().Done():
			over = true
		}
		f.mu.Lock()
		if w.dead {
			return 0, nil
		}
	}
	active, ends := [][]any{}, [][]any{}
	for _, r := range w.active {
		active = append(active, []any{r.task, r.run, "", r.percent(), r.step.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.seq, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, object{"clockMs": w.clockMs(), "active": active, "ended": ends, "born": w.born.UnixMilli()}
}

// percent returns the progress of a run.
func (r *run) percent() int {
	d := r.step.duration
	if d == 0 {
		d = startupTime
	}
	return int(min(100, 100*time.Since(r.began)/d))
}

// extendLease extends the lease of all that runs on the worker to a time on its clock; it never shortens it. The
// caller holds mu.
func (f *fleet) extendLease(w *worker, untilMs int64) {
	left := min(time.Duration(untilMs-w.clockMs())*time.Millisecond, maxHold)
	until := time.Now().Add(left)
	if !until.After(w.lease) {
		return
	}
	w.lease = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(left, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if time.Now().Before(w.lease) {
			return
		}
		for _, r := range w.active {
			f.finish(w, r, "lapsed")
		}
	})
}

// stepOf returns JOB.STEP of a task JOB.K.STEP.INDEX.
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return ""
	}
	return parts[0] + "." + parts[2]
}

// failOne ends one run of a step as failed, as tasks that last may at any time. It reports whether there was one.
func (f *fleet) failOne(jobStep string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.sortedMachines() {
		w := f.machines[id].worker
		if w == nil || w.dead {
			continue
		}
		for _, r := range w.active {
			if stepOf(r.task) == jobStep {
				f.finish(w, r, "failed")
				return true
			}
		}
	}
	return false
}

// ranTwice returns the runs that break the rule TWICE.
func (f *fleet) ranTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.twice, f.early)
}

// countRunning returns how many tasks of a step are at work, by service.
func (f *fleet) countRunning(jobStep string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, m := range f.machines {
		if m.worker == nil || m.worker.dead {
			continue
		}
		for _, r := range m.worker.active {
			if stepOf(r.task) == jobStep {
				out[m.worker.service]++
			}
		}
	}
	return out
}

func (f *fleet) sortedMachines() []string {
	var out []string
	for id := range f.machines {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// ServeHTTP serves the calls to the platform's list of machines.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/-/machines" {
		reply(w, http.StatusOK, f.listMachines())
		return
	}
	var body struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || f.machines[body.Machine] == nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	m := f.machines[body.Machine]
	f.record.log("%s of machine %s by %s fence %s: pool %q wave %d", r.URL.Path, m.id, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), body.Pool, body.Wave)
	move := r.URL.Path == "/-/machine-move"
	switch {
	case move && m.pool == body.Pool, !move && m.maintained[body.Wave]:
		reply(w, http.StatusOK, object{})
		return
	case m.state != "up":
		reply(w, http.StatusConflict, object{"reason": "busy"})
		return
	}
	f.stopWorker(m.worker, "by an order for its machine")
	downtime := maintenanceTime
	if m.state = "upkeep"; move {
		m.state, m.pool, downtime = "moving", body.Pool, migrateTime
	} else {
		m.maintained[body.Wave] = true
	}
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startWorker(m)
	})
	reply(w, http.StatusOK, object{})
}

// listMachines returns the list of machines. The caller holds mu.
func (f *fleet) listMachines() object {
	list := []object{}
	for _, id := range f.sortedMachines() {
		m := f.machines[id]
		list = append(list, object{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": object{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "id": m.worker.id,
		})
	}
	return object{"machines": list, "nextToken": nil}
}
