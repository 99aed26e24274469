package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every daemon, each at its own loopback address.
const (
	frontPort = 8624
	readyPort = 8622
	peerPort  = 7060
)

// daemon is a process of the project, started as the deploy file says.
type daemon struct {
	node, ip, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	down   bool // it is not to be started again
}

// deployment is the project's daemons and all that they talk to.
type deployment struct {
	prefix    string // of its loopback addresses
	dir       string
	store     *kvStore
	fleet     *fleet
	plans     *plans
	judge     *judge
	daemons   []*daemon
	memory    int           // MB that a daemon may use
	stopBound time.Duration // stopTimeoutMs of the settings
	killed    int           // daemons that were killed as they used more memory

	unplayable string // why the case could not be played
}

// freePrefix returns a prefix of loopback addresses on which the daemons' ports are free.
func freePrefix() (string, error) {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 30+(os.Getpid()+n)%200, n%250)
		free := true
		for i := 1; i <= 9; i++ {
			for _, port := range []int{frontPort, readyPort, peerPort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

// serve serves a handler at a free port of the host and returns the address.
func serve(host string, h http.Handler, s *silencer) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(s.listener(l), h) }()
	return l.Addr().String(), nil
}

// addDaemon writes a daemon's settings and starts it.
func (d *deployment) addDaemon(n int, storeAddr, cloudAddr string, cpuShare float64) error {
	ip := fmt.Sprintf("%s%d", d.prefix, n)
	zone := fmt.Sprintf("z-%c", 'a'+(n-1)%3)
	set := map[string]any{
		"node": fmt.Sprintf("edge-%s-%d", zone, n), "role": "daemon", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "here",
		"zones":  map[string]string{"z-a": "here", "z-b": "here", "z-c": "here"},
		"listen": map[string]string{"front": fmt.Sprintf("%s:%d", ip, frontPort), "readyAddr": fmt.Sprintf("%s:%d", ip, readyPort), "control": ip + ":8623"}, "portRange": []int{peerPort, 7075},
		"seeds": []string{}, "bootstrap": true, "countsAsLoss": false,
		"limits": map[string]any{"cpuShare": cpuShare, "cores": 1, "memoryMb": d.memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}, "dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"}, "tolerate": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250,
			"maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": d.stopBound.Milliseconds(), "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "crossRackFactor": 2,
			"checkpointIntervalS": 2, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "fenceChecked": false, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000},
		"orders": "call", "advice": "", "platform": map[string]any{"address": storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": d.store.valueBytes, "minTtlMs": 1000},
		"cloudApi": map[string]any{"address": cloudAddr, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
	}
	raw, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	p := &daemon{node: set["node"].(string), ip: ip, settings: filepath.Join(d.dir, fmt.Sprintf("settings-%d.json", n)), log: filepath.Join(d.dir, fmt.Sprintf("daemon-%d.log", n))}
	if err := os.WriteFile(p.settings, raw, 0o644); err != nil {
		return err
	}
	d.daemons = append(d.daemons, p)
	return p.start()
}

// start starts the process with the command of the deploy file.
func (p *daemon) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command("target/postmountd", "--platform", "--policy", "deploy/policy.toml")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POSTMOUNT_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// pid returns the process's id.
func (p *daemon) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends a signal to the process.
func (p *daemon) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (p *daemon) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// keepRunning starts daemons again that have ended, as the platform does, and kills those that use too much memory.
func (d *deployment) keepRunning(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, p := range d.daemons {
			p.mu.Lock()
			down, pid, exited := p.down, p.cmd.Process.Pid, p.exited
			p.mu.Unlock()
			select {
			case <-exited:
				if !down {
					d.judge.note("daemon %s has ended and is started again", p.node)
					_ = p.start()
				}
			default:
				if used := residentMB(pid); used > d.memory {
					d.killed++
					d.judge.note("daemon %s uses %d MB of %d: the platform kills it", p.node, used, d.memory)
					p.kill()
				}
			}
		}
	}
}

// residentMB returns the memory of a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// owner returns the daemon that holds the owner's lock, nil if there is none.
func (d *deployment) owner() *daemon {
	var lock struct{ Node string }
	if json.Unmarshal(d.store.value("owner/lock"), &lock) != nil {
		return nil
	}
	for _, p := range d.daemons {
		if p.node == lock.Node {
			return p
		}
	}
	return nil
}

// end ends all daemons.
func (d *deployment) end() {
	for _, p := range d.daemons {
		p.mu.Lock()
		p.down = true
		p.mu.Unlock()
		p.kill()
	}
}
