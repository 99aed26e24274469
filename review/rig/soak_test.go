package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// soakOptions are those of a deployment whose workers don't guard their capacity and are of two kinds.
func soakOptions() options {
	o := small()
	o.guards, o.kinds, o.machines = false, []string{"a", "b"}, 12
	return o
}

// randomPlan returns a job that uses what the users' small sites leave out: gangs, labels, times.
func randomPlan(rng *rand.Rand) *plan {
	p := &plan{ID: newID(), Spec: fmt.Sprintf("job <%d> & \"more\"", rng.IntN(1000))}
	for n := range 1 + rng.IntN(3) {
		s := step{Count: 1 + rng.IntN(5), CPU: 2000 + rng.IntN(9000), MemMB: 1000, Work: time.Duration(200+rng.IntN(900)) * time.Millisecond}
		if n > 0 && rng.IntN(3) > 0 {
			s.After = []int{rng.IntN(n)}
		}
		switch rng.IntN(6) {
		case 0, 1:
			s.Gang = true
		case 2:
			s.RequiredLabel = []string{"a", "b"}[rng.IntN(2)]
		case 3:
			s.MaxPerServer = 1
		case 4:
			s.Speculative = true
		}
		if rng.IntN(5) == 0 && !s.Gang {
			s.Fails = 1 + rng.IntN(2)
		}
		p.Steps = append(p.Steps, s)
	}
	if rng.IntN(5) == 0 {
		p.Repeat, p.Every, p.Start = 1+rng.IntN(4), time.Duration(500+rng.IntN(1500))*time.Millisecond, time.Now().Add(time.Duration(rng.IntN(4000))*time.Millisecond)
	}
	return p
}

// randomTrouble makes one disruption and waits until it is over.
func randomTrouble(d *deployment, rng *rand.Rand) {
	short := time.Duration(500+rng.IntN(3000)) * time.Millisecond
	switch n := rng.IntN(14); n {
	case 0, 1:
		if p := d.owner(); p != nil {
			d.judge.note("TROUBLE kill owner %s", p.node)
			p.kill()
		}
	case 2:
		if p := d.owner(); p != nil {
			d.judge.note("TROUBLE freeze owner %s for %s", p.node, short)
			p.signal(syscall.SIGSTOP)
			time.Sleep(short)
			p.signal(syscall.SIGCONT)
		}
	case 3:
		if p := d.owner(); p != nil {
			d.judge.note("TROUBLE SIGTERM owner %s", p.node)
			p.signal(syscall.SIGTERM)
		}
	case 4, 5, 6, 7:
		d.fleet.mu.Lock()
		m := d.fleet.machines[rng.IntN(len(d.fleet.machines))]
		if m.state != "up" {
			d.fleet.mu.Unlock()
			return
		}
		sameID, other := rng.IntN(3) > 0, rng.IntN(2) == 0
		d.judge.note("TROUBLE crash %s on %s, again after %s, same id %v, other kind %v", m.worker.id, m.id, short, sameID, other)
		d.fleet.crash(m, "down")
		if other {
			m.kind = map[string]string{"a": "b", "b": "a"}[m.kind]
		}
		d.fleet.mu.Unlock()
		time.AfterFunc(short/time.Duration(1+rng.IntN(6)), func() { _ = d.fleet.restart(m, sameID) })
	case 8:
		what := []storeFault{storeRefuses, storeSilent, storeLosesAnswer}[rng.IntN(3)]
		d.judge.note("TROUBLE store fault %d for %s", what, short)
		d.store.setFault(func(r *http.Request) storeFault {
			if what == storeLosesAnswer && (r.Method == http.MethodGet || rand.IntN(3) > 0) {
				return storeServes
			}
			return what
		})
		time.Sleep(short)
		d.store.setFault(nil)
	case 9, 10:
		d.judge.note("TROUBLE all open channels to the store, the cloud and workers go silent")
		d.fleet.silencer.silence()
	default:
		share := 0.05 + rng.Float64()*0.2
		d.judge.note("TROUBLE %.2f of the starts and stops late for %s", share, short)
		d.fleet.mu.Lock()
		d.fleet.order = func(_ *worker, path string) orderFault {
			if strings.HasPrefix(path, "/-/run-") && rand.Float64() < share {
				return orderFault{late: time.Duration(2000+rand.IntN(8000)) * time.Millisecond}
			}
			return orderFault{}
		}
		d.fleet.mu.Unlock()
		time.Sleep(short)
		d.fleet.mu.Lock()
		d.fleet.order = nil
		d.fleet.mu.Unlock()
	}
}

func playSoak(d *deployment, trouble bool) {
	rng := rand.New(rand.NewPCG(soakSeed, 1))
	c := newConsumer(d, queueHost, queuePath)
	stop := make(chan struct{})
	quiet := make(chan struct{})
	go func() {
		defer close(quiet)
		own := rand.New(rand.NewPCG(soakSeed, 2))
		for trouble {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(own.IntN(1500)) * time.Millisecond):
				randomTrouble(d, own)
			}
		}
	}()
	var accepted []*plan
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond) {
		p := randomPlan(rng)
		if c.submit(p) != http.StatusOK {
			continue
		}
		if rng.IntN(10) == 0 {
			go func() {
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
				c.cancel(p.ID)
			}()
			continue
		}
		accepted = append(accepted, p)
	}
	close(stop)
	if trouble {
		<-quiet
	}
	calmSince := time.Now()
	for _, p := range awaitEnded(c, accepted, 30*time.Second) {
		status, state := c.state(p.ID)
		d.judge.broken("LOST", "job %s is %d %s 30 s after the last disruption, all tasks done: %v", p.ID, status, state, d.judge.isDone(p))
	}
	time.Sleep(time.Until(calmSince.Add(settleTime)))
	d.judge.judgeCancelled()
}

// settleTime is how long after the last disruption no task of a cancelled job may be at work: the time until the
// machines count as in touch, the bound of cancelling, the longest stop, and a second.
const settleTime = 3*time.Second + cancelBound + 1400*time.Millisecond

// awaitEnded waits until all jobs have ended, checks how they are shown, and returns those that have not.
func awaitEnded(c *consumer, jobs []*plan, d time.Duration) []*plan {
	left := jobs
	for end := time.Now().Add(d); len(left) > 0 && time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		var next []*plan
		for _, p := range left {
			status, state := c.state(p.ID)
			switch {
			case status == http.StatusGone:
				c.d.judge.broken("LOST", "job %s is not known any more", p.ID)
			case state == "completed" && !c.d.judge.isDone(p):
				c.d.judge.broken("MIXED", "job %s is shown as completed, and not all of its tasks have ended done", p.ID)
			case state == "failed" && !c.d.judge.hasFailedEnough(p):
				c.d.judge.broken("LOST", "job %s is shown as failed without cause", p.ID)
			case state == "cancelled":
				c.d.judge.broken("LOST", "job %s is shown as cancelled, and nobody did that", p.ID)
			case state != "completed" && state != "failed":
				next = append(next, p)
			}
		}
		left = next
	}
	return left
}
