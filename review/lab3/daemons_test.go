package lab3

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemonCommand is the command of the deploy file.
const daemonCommand = "target/postmountd --platform --policy deploy/policy.toml"

// metricsPort is the port of deploy/system.toml, which each daemon opens on its own address.
const metricsPort = 9464

// Times of daemons.
const (
	grace        = 6 * time.Second // from SIGTERM to SIGKILL
	restartPause = 500 * time.Millisecond
)

// daemon is a daemon's process, which may be ended and started again.
type daemon struct {
	name, ip, front, ready string
	settings, logPath      string
	record                 *record
	process                *exec.Cmd
	exited                 chan struct{}
}

// newDaemons prepares daemons on loopback addresses of their own, from 127.0.FIRST.1 on, and writes their settings files.
func newDaemons(n, first int, dir string, rec *record, storeAddrs []string, cloudAddr string) ([]*daemon, error) {
	ips, err := freeIPs(n, first)
	if err != nil {
		return nil, err
	}
	peerPort, err := freePort(ips[0])
	if err != nil {
		return nil, err
	}
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var out []*daemon
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), ip: ip, record: rec}
		d.settings, d.logPath = filepath.Join(dir, d.name+".json"), filepath.Join(dir, d.name+".log")
		front, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ready, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		d.front, d.ready = fmt.Sprintf("%s:%d", ip, front), fmt.Sprintf("%s:%d", ip, ready)
		raw, err := json.Marshal(settingsOf(d, zones[i%len(zones)], peerPort, storeAddrs[i], cloudAddr))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(d.settings, raw, 0o600); err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

// settingsOf returns the settings of a daemon of alumni-hub.
func settingsOf(d *daemon, zone string, peerPort int, storeAddr, cloudAddr string) object {
	return object{
		"node": d.name, "role": "daemon", "machineClass": "edge", "serves": []string{"edge"}, "ip": d.ip, "zone": zone, "region": "hcm",
		"zones":  object{"hcm-a": "hcm", "hcm-b": "hcm", "hcm-c": "hcm"},
		"listen": object{"front": d.front, "readyAddr": d.ready}, "portRange": []int{peerPort, peerPort + 15}, "seeds": []string{},
		"bootstrap": true, "countsAsLoss": false,
		"limits":  object{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"tolerate":  object{"machines": 2, "zones": 0, "regions": 0},
		"bounds": object{
			"seedLagS": 3, "addrReuseS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 400,
			"gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "crossRackFactor": 2,
			"checkpointIntervalS": 2, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "fenceChecked": false, "leaseMs": 3000,
			"thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
		},
		"orders":   "call",
		"platform": object{"address": storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "minTtlMs": 1000},
		"cloudApi": object{"address": cloudAddr, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
	}
}

// freeIPs returns loopback addresses on which the port of the metrics is free.
func freeIPs(n, first int) ([]string, error) {
	var out []string
	for net3 := first; net3 < 250; net3++ {
		ip := fmt.Sprintf("127.0.%d.1", net3)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err != nil {
			continue
		}
		_ = l.Close() // nothing was sent on it
		if out = append(out, ip); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no loopback address has a free port for metrics")
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// start starts the daemon's process. Its log goes to a file of its own.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(daemonCommand)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POSTMOUNT_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited = cmd, exited
	d.record.log("daemon %s: process %d started", d.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the state is recorded
		d.record.log("daemon %s: process %d has ended: %s", d.name, cmd.Process.Pid, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.record.log("daemon %s: %s", d.name, s)
	_ = d.process.Process.Signal(s) // it may have ended
}

// kill ends the daemon's process at once.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// restart stops the daemon's process as planned, with SIGTERM and after the grace time SIGKILL, and starts it again.
func (d *daemon) restart() error {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(grace):
		d.kill()
	}
	time.Sleep(restartPause)
	return d.start()
}
