package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Times of workers and machines, as in the settings of the small sites.
const (
	heartbeat       = 1500 * time.Millisecond
	usualStopTime   = 50 * time.Millisecond
	gangTimeout     = 3 * time.Second
	maxHold         = 10 * time.Second
	maintenanceTime = 2 * time.Second
	moveTime        = 1500 * time.Millisecond
	workerTick      = 10 * time.Millisecond
	maxListedEnds   = 500
)

// step describes the tasks of one step to the workers, which cannot see that in an order.
type step struct {
	Count         int
	CPU, MemMB    int
	Work          time.Duration
	After         []int
	Gang          bool
	Speculative   bool
	RequiredLabel string
	MaxPerServer  int
	Fails         int // this many runs of each task fail
}

// plan is a job as its consumer made it.
type plan struct {
	ID     string
	Spec   string
	Steps  []step
	Repeat int
	Start  time.Time
	Every  time.Duration
}

// plans holds all jobs that consumers have sent.
type plans struct {
	mu   sync.Mutex
	byID map[string]*plan
}

func (p *plans) add(j *plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byID[j.ID] = j
}

// find returns the plan and the step of a task's name, nil if no consumer sent it.
func (p *plans) find(task string) (j *plan, s *step, occurrence, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil, 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j = p.byID[parts[0]]
	occurrence, _ = strconv.Atoi(parts[1])
	n, _ := strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	if j == nil || n >= len(j.Steps) {
		return nil, nil, 0, 0
	}
	return j, &j.Steps[n], occurrence, index
}

// run is a task at work on a worker.
type run struct {
	task     string
	number   uint64
	step     *step
	began    time.Time
	working  time.Time // when its work began; zero: it waits for the others of its gang
	stopping time.Time // when it will have stopped; zero: it goes on
	spec     string    // as in the order to start it
}

// gangKey names the runs that work together.
func (r *run) gangKey() string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.FormatUint(r.number, 10)
}

type endRow struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// machine is a machine of the platform. Its worker is one life of it.
type machine struct {
	id, zone, rack, pool, kind string
	state                      string // up, down, moving, upkeep
	worker                     *worker
}

// worker is a stand-in for a worker.
type worker struct {
	fleet    *fleet
	machine  *machine
	id, addr string
	pool     string
	kind     string
	born     time.Time
	seq      int

	up     bool
	fence  uint64
	until  time.Duration // end of all leases, on the worker's clock
	runs   map[string]*run
	cpu    int // taken by runs
	mem    int
	closed map[string]uint64 // highest run of a task that was stopped or has ended here
	// closedBefore is closed as it was some time ago: a worker needs not remember for ever.
	closedBefore map[string]uint64
	closedSince  time.Time
	ends         []endRow
	lastN        uint64
	ended        chan struct{} // closed when a run ends
	server       *fasthttp.Server
	conns        *openConns
}

// openConns is a listener that knows its open connections, so that all can be closed at once.
type openConns struct {
	net.Listener
	mu   sync.Mutex
	list []net.Conn
}

// Accept implements net.Listener.
func (o *openConns) Accept() (net.Conn, error) {
	c, err := o.Listener.Accept()
	if err == nil {
		o.mu.Lock()
		o.list = append(o.list, c)
		o.mu.Unlock()
	}
	return c, err
}

// closeAll closes the listener and all of its connections.
func (o *openConns) closeAll() {
	o.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.list {
		c.Close()
	}
}

// fleet holds all machines and workers, and one lock for them.
type fleet struct {
	store    *kvStore
	plans    *plans
	judge    *judge
	cpu, mem int
	guards   bool
	stopTime time.Duration // that a stop takes
	latency  time.Duration // of an order and its answer on the network

	mu       sync.Mutex
	machines []*machine
	workers  int
	order    func(w *worker, path string) orderFault // what becomes of an order; nil: all are carried out
	onStart  func(w *worker, r *run)                 // called after each start, with the lock held
	gangs    map[string]map[string]bool              // tasks present, by gang
	silencer *silencer
}

// orderFault is what becomes of an order to a worker.
type orderFault struct {
	late   time.Duration // it is carried out so much later, without an answer
	unseen bool          // it is carried out at once, without an answer
}

func newFleet(s *kvStore, p *plans, j *judge, cpu, mem int, guards bool) *fleet {
	f := &fleet{store: s, plans: p, judge: j, cpu: cpu, mem: mem, guards: guards, stopTime: usualStopTime, gangs: map[string]map[string]bool{}, silencer: newSilencer()}
	go func() {
		for range time.Tick(workerTick) {
			f.mu.Lock()
			for _, m := range f.machines {
				if w := m.worker; w != nil && w.up {
					w.tick()
				}
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// addMachine adds a machine with a worker at a free port of host.
func (f *fleet) addMachine(host, pool, zone, rack, kind string) (*machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{id: fmt.Sprintf("m-%04d", len(f.machines)), zone: zone, rack: rack, pool: pool, kind: kind, state: "up"}
	f.machines = append(f.machines, m)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	return m, f.boot(m, addr, "")
}

// boot starts a worker on the machine. id is that of an earlier worker that starts again, "" for a new one.
func (f *fleet) boot(m *machine, addr, id string) error {
	if id == "" {
		f.workers++
		id = fmt.Sprintf("i-%04d", f.workers)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w := &worker{fleet: f, machine: m, id: id, addr: addr, pool: m.pool, kind: m.kind, born: time.Now(), up: true, runs: map[string]*run{}, closed: map[string]uint64{}, closedBefore: map[string]uint64{}, closedSince: time.Now(), ended: make(chan struct{}), conns: &openConns{Listener: f.silencer.listener(l)}}
	w.server = &fasthttp.Server{Handler: w.serve, Logger: silentLogger{}}
	m.worker, m.state = w, "up"
	go func() { _ = w.server.Serve(w.conns) }()
	go func() {
		for {
			f.mu.Lock()
			if !w.up {
				f.mu.Unlock()
				return
			}
			w.seq++
			entry := w.entry()
			f.mu.Unlock()
			f.store.put("servers/"+w.id, entry)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.pool, "address": w.addr, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.fleet.cpu, "memMb": w.fleet.mem, "gpu": 0}, "labels": []string{w.kind, w.machine.rack},
		"clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(), "machine": w.machine.id,
	}
}

// clock returns the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// crash ends the worker without a word. Its entry stays in the store for a while.
func (f *fleet) crash(m *machine, state string) {
	w := m.worker
	if w == nil || !w.up {
		return
	}
	w.up = false
	for _, r := range w.runs {
		w.leave(r, "crashed")
	}
	m.state = state
	w.conns.closeAll()
	go func() {
		time.Sleep(3 * heartbeat)
		f.mu.Lock()
		gone := m.worker == w || m.worker == nil || m.worker.id != w.id
		f.mu.Unlock()
		if gone {
			f.store.drop("servers/" + w.id)
		}
	}()
}

// restart starts a new worker on a machine that has crashed, under the same id if sameID is set.
func (f *fleet) restart(m *machine, sameID bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := ""
	if sameID {
		id = m.worker.id
	}
	var err error
	for range 20 {
		if err = f.boot(m, m.worker.addr, id); err == nil {
			return nil
		}
		time.Sleep(workerTick)
	}
	return err
}

// used returns what the worker's runs take.
func (w *worker) used() (cpu, mem int) { return w.cpu, w.mem }

// leave removes a run.
func (w *worker) leave(r *run, how string) {
	delete(w.runs, r.task)
	w.cpu, w.mem = w.cpu-r.step.CPU, w.mem-r.step.MemMB
	w.closed[r.task] = max(w.closed[r.task], r.number)
	if g := w.fleet.gangs[r.gangKey()]; g != nil {
		delete(g, r.task)
	}
	w.fleet.judge.ended(w, r, how)
}

// end lists the end of a run.
func (w *worker) end(r *run, how string) {
	w.leave(r, how)
	w.lastN++
	w.ends = append(w.ends, endRow{w.lastN, r.task, r.number, how})
	close(w.ended)
	w.ended = make(chan struct{})
}

// silentLogger drops what the workers' servers log of broken channels.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// closedTime is how long a worker remembers the runs that have ended, at least.
const closedTime = 30 * time.Second

// tick ends runs whose work, stop or lease is over.
func (w *worker) tick() {
	now := time.Now()
	if now.Sub(w.closedSince) > closedTime {
		w.closedBefore, w.closed, w.closedSince = w.closed, map[string]uint64{}, now
	}
	lapsed := w.clock() > w.until
	for _, r := range w.runs {
		members := w.fleet.gangs[r.gangKey()]
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopping.IsZero() && now.After(r.stopping):
			w.end(r, "stopped")
		case !r.stopping.IsZero():
		case r.working.IsZero() && len(members) == r.step.Count:
			r.working = now
		case r.working.IsZero() && now.Sub(r.began) > gangTimeout:
			w.end(r, "alone")
		case r.working.IsZero():
		case r.step.Gang && members != nil && len(members) < r.step.Count && !w.fleet.judge.gangDone(r):
			w.end(r, "broken")
		case now.Sub(r.working) > r.step.Work && w.fleet.judge.mayFail(r):
			w.end(r, "failed")
		case now.Sub(r.working) > r.step.Work:
			w.end(r, "done")
		}
	}
}

// order is the body of an order to a worker.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

// serve handles a call to the worker.
func (w *worker) serve(ctx *fasthttp.RequestCtx) {
	status, body, answered := w.handle(string(ctx.Path()), string(ctx.Request.Header.Peek("Expect-Instance")), ctx.PostBody())
	if !answered {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // until the caller closes the channel
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handle carries out an order. answered is false if the caller gets no answer.
func (w *worker) handle(path, expect string, raw []byte) (status int, body []byte, answered bool) {
	var o order
	if err := json.Unmarshal(raw, &o); err != nil {
		return http.StatusBadRequest, []byte("{}"), true
	}
	if expect != "" && expect != w.id {
		return http.StatusMisdirectedRequest, []byte("{}"), true
	}
	f := w.fleet
	time.Sleep(f.latency)
	f.mu.Lock()
	var fault orderFault
	if f.order != nil {
		fault = f.order(w, path)
	}
	if fault.late > 0 {
		f.mu.Unlock()
		time.Sleep(fault.late)
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	if !w.up {
		return 0, nil, false
	}
	status, reason, lists := http.StatusOK, "", ""
	until := min(time.Duration(o.UntilMs)*time.Millisecond, w.clock()+maxHold)
	switch {
	case o.Fence < w.fence:
		status, reason = http.StatusConflict, "fence"
	case path == "/-/run-start":
		w.fence = o.Fence
		status, reason = w.start(o.Task, o.Run, o.Spec, until)
	case path == "/-/run-stop":
		w.fence = o.Fence
		w.closed[o.Task] = max(w.closed[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopping.IsZero() {
			r.stopping = time.Now().Add(f.stopTime)
		}
	case path == "/-/hold":
		w.fence = o.Fence
		w.until = max(w.until, until)
		w.forget(o.LastSeen)
		w.await(time.Duration(o.WaitMs) * time.Millisecond)
		if !w.up {
			return 0, nil, false
		}
		lists = w.lists()
	case path == "/-/pace":
		w.fence = o.Fence
	}
	body = fmt.Appendf(nil, `{"clockMs":%d,"born":%d`, w.clock().Milliseconds(), w.born.UnixMilli())
	if reason != "" {
		body = fmt.Appendf(body, `,"reason":%q`, reason)
	}
	body = append(append(body, lists...), '}')
	return status, body, fault.late == 0 && !fault.unseen
}

// start begins a run, or says why not.
func (w *worker) start(task string, number uint64, spec string, until time.Duration) (status int, reason string) {
	if until <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.until = max(w.until, until)
	if r := w.runs[task]; r != nil && r.number == number {
		return http.StatusOK, ""
	}
	if number <= max(w.closed[task], w.closedBefore[task]) || w.runs[task] != nil {
		return http.StatusConflict, "old"
	}
	j, s, occurrence, index := w.fleet.plans.find(task)
	if j == nil {
		w.fleet.judge.broken("UNASKED", "worker %s is told to start %s, which no consumer sent", w.id, task)
		return http.StatusBadRequest, ""
	}
	cpu, mem := w.used()
	if w.fleet.guards && (cpu+s.CPU > w.fleet.cpu || mem+s.MemMB > w.fleet.mem) {
		return http.StatusConflict, "room"
	}
	r := &run{task: task, number: number, step: s, began: time.Now(), spec: spec}
	if !s.Gang {
		r.working = r.began
	}
	w.runs[task] = r
	w.cpu, w.mem = cpu+s.CPU, mem+s.MemMB
	if s.Gang {
		if w.fleet.gangs[r.gangKey()] == nil {
			w.fleet.gangs[r.gangKey()] = map[string]bool{}
		}
		w.fleet.gangs[r.gangKey()][task] = true
	}
	w.fleet.judge.started(w, r, j, occurrence, index, spec)
	if w.fleet.onStart != nil {
		w.fleet.onStart(w, r)
	}
	return http.StatusOK, ""
}

// forget drops the ends up to lastSeen.
func (w *worker) forget(lastSeen uint64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.n > lastSeen {
			kept = append(kept, e)
			continue
		}
		w.fleet.judge.noted(e)
	}
	w.ends = kept
}

// await waits for an end, with the lock released.
func (w *worker) await(d time.Duration) {
	if len(w.ends) > 0 || d <= 0 {
		return
	}
	ended := w.ended
	w.fleet.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(d):
	}
	w.fleet.mu.Lock()
}

// lists returns the fields of a hold's answer that list what is at work and what has ended.
func (w *worker) lists() string {
	out := []byte(`,"active":[`)
	comma := ""
	for _, r := range w.runs {
		percent := 0
		if !r.working.IsZero() && r.step.Work > 0 {
			percent = min(99, int(100*time.Since(r.working)/r.step.Work))
		}
		out = fmt.Appendf(out, `%s[%q,%d,"",%d,%d]`, comma, r.task, r.number, percent, r.step.CPU)
		comma = ","
	}
	out = append(out, `],"ended":[`...)
	comma = ""
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		out = fmt.Appendf(out, `%s[%d,%q,%d,%q,""]`, comma, e.n, e.task, e.run, e.how)
		comma = ","
	}
	return string(append(out, ']'))
}

// idle reports whether no worker has a run, or an end that was not taken note of.
func (f *fleet) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil && len(m.worker.runs)+len(m.worker.ends) > 0 {
			return false
		}
	}
	return true
}

// unnoted returns the number of ends that no daemon has taken note of.
func (f *fleet) unnoted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.worker != nil {
			n += len(m.worker.ends)
		}
	}
	return n
}

// cloud serves the machines' API.
func (f *fleet) cloud(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/-/machines" {
		list := []map[string]any{}
		for _, m := range f.machines {
			id := ""
			if m.worker != nil {
				id = m.worker.id
			}
			list = append(list, map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
				"capacity": map[string]int{"cpu": f.cpu, "memMb": f.mem, "gpu": 0}, "id": id})
		}
		reply(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	for _, m := range f.machines {
		if m.id != b.Machine {
			continue
		}
		if m.state != "up" {
			reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		state, d := "upkeep", maintenanceTime
		if r.URL.Path == "/-/machine-move" {
			state, d = "moving", moveTime
			m.pool = b.Pool
		}
		f.crash(m, state)
		time.AfterFunc(d, func() { _ = f.restart(m, false) })
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	reply(w, http.StatusBadRequest, map[string]any{})
}
