// Package rig plays the cases of the review: the project's daemons as separate processes, with stand-ins of the
// platform's store, its machines, workers and consumers, all on loopback addresses. It is built as a test program by
// review/build-2.sh, as the project's import rule allows the platform's names and child processes in tests alone.
package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// options are those of a deployment.
type options struct {
	daemons    int
	cpuShare   float64
	memory     int // MB of a daemon
	machines   int
	cpu, mem   int // of a worker
	guards     bool
	kinds      []string // labels of the machines, in turn
	valueBytes int
	stopBound  time.Duration // stopTimeoutMs
	latency    time.Duration // between daemons and workers, both ways
}

// The service and the queue of all cases.
const (
	service   = "svc-a"
	queueHost = "pule25.example"
	queuePath = "/puxa400/"
)

// small returns the options of a small deployment like those of the site files.
func small() options {
	return options{daemons: 6, cpuShare: 0.4, memory: 284, machines: 10, cpu: 32000, mem: 131072, guards: true, kinds: []string{"a"}, valueBytes: 1 << 20, stopBound: 400 * time.Millisecond}
}

// busy returns the options of a deployment with the largest machines of the users' fleet, whose workers take up to
// 900 ms to stop a task.
func busy() options {
	o := small()
	o.stopBound = 900 * time.Millisecond
	o.daemons, o.cpuShare, o.memory, o.machines = 3, 1.6, 1048, 24
	return o
}

// fleet4 returns the options of a deployment with four workers.
func fleet4() options {
	o := small()
	o.machines = 4
	return o
}

// betweenZones is the time of a message to another zone and back, as on the users' sheet.
const betweenZones = 1800 * time.Microsecond

// unguarded returns the options of a deployment with 24 workers, which don't guard their capacity.
func unguarded() options {
	o := fleet24()
	o.guards, o.latency = false, betweenZones
	return o
}

// fleet24 returns the options of a deployment with 24 workers.
func fleet24() options {
	o := small()
	o.machines = 24
	return o
}

// deploy starts a deployment and waits until its daemons answer.
func deploy(o options, j *judge) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	d := &deployment{prefix: prefix, dir: dir, store: newStore(o.valueBytes), plans: &plans{byID: map[string]*plan{}}, judge: j, memory: o.memory, stopBound: o.stopBound}
	d.fleet = newFleet(d.store, d.plans, j, o.cpu, o.mem, o.guards)
	d.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "host": queueHost, "prefix": queuePath, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 600, "priority": 0, "service": service, "maxAttempts": maxAttempts, "stretch": 1.6}},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": o.guards}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	for n := range o.machines {
		zone := fmt.Sprintf("z-%c", 'a'+n%3)
		if _, err := d.fleet.addMachine(prefix+"100", service, zone, fmt.Sprintf("r%d-%d", n%3+1, n/12), o.kinds[n%len(o.kinds)]); err != nil {
			return nil, err
		}
	}
	d.fleet.latency = o.latency
	storeAddr, err := serve(prefix+"101", d.store, d.fleet.silencer)
	if err != nil {
		return nil, err
	}
	cloudAddr, err := serve(prefix+"102", http.HandlerFunc(d.fleet.cloud), d.fleet.silencer)
	if err != nil {
		return nil, err
	}
	for n := range o.daemons {
		if err := d.addDaemon(n+1, storeAddr, cloudAddr, o.cpuShare); err != nil {
			d.end()
			return nil, err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if d.allReady() && d.owner() != nil {
			break
		}
		if time.Now().After(end) {
			d.end()
			return nil, fmt.Errorf("the daemons were not ready within 15 s")
		}
	}
	time.Sleep(time.Second)
	return d, nil
}

// allReady reports whether all daemons say that they are ready.
func (d *deployment) allReady() bool {
	for _, p := range d.daemons {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/ready", p.ip, readyPort))
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// caseFunc plays a case on a deployment. trouble is false if the disruption is left out.
type caseFunc func(d *deployment, trouble bool)

// TestMain plays the case that REVIEW_CASE names, and writes the record to the file in REVIEW_RECORD. Without a case it
// runs the tests, of which there are none.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		os.Exit(notRun)
	}
	soakSeed, _ = strconv.ParseUint(os.Getenv("REVIEW_SEED"), 10, 64)
	os.Exit(playCase(c))
}

// playCase plays a case and returns the exit status.
func playCase(c reviewCase) int {
	out, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	j := newJudge(out)
	d, err := deploy(c.options, j)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.end()
		os.Exit(notRun)
	}()
	stop := make(chan struct{})
	go d.keepRunning(stop)
	c.play(d, os.Getenv("TROUBLE") != "0")
	close(stop)
	d.end()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
	rules := j.rules()
	j.note("%d starts, ends %v, rules broken: %v", j.starts, j.ends, rules)
	fmt.Println("rules broken:", rules)
	switch {
	case d.unplayable != "":
		fmt.Fprintln(os.Stderr, d.unplayable)
		return notRun
	case len(rules) > 0:
		return ruleBroken
	}
	return ruleHeld
}
