// Package lab3 plays the cases of the third review: it starts the daemons as the deploy file says, between stand-ins
// for the platform's store, its machines and workers, and a consumer.
package lab3

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// addressesPerCase keeps cases that run at the same time apart.
const addressesPerCase = 10

// setting is what a case plays on.
type setting struct {
	store   *store
	fleet   *fleet
	daemons []*daemon
	caller  *caller
	record  *record
	trouble bool
}

// daemons is the number of daemons of each case.
const daemons = 4

// cases are the cases by their number. Each returns what broke the rule.
var cases = map[int]func(*setting) ([]string, error){
	9:  movedQueue,
	10: waveOfAService,
	11: lateStart,
	12: rackUnderLargeJob,
}

// TestMain plays the case that REVIEW_CASE names. Without one the package has no tests.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	number, _ := strconv.Atoi(name)
	os.Exit(runCase(number, os.Getenv("REVIEW_RECORD"), os.Getenv("REVIEW_LOGS")))
}

func runCase(number int, out, logs string) int {
	rec, err := newRecord(out)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	broken, err := play(number, rec, logs)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	if len(broken) == 0 {
		rec.log("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range broken {
		rec.log("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	return exitBroken
}

// play starts everything, plays the case, and ends all processes.
func play(number int, rec *record, logs string) ([]string, error) {
	do := cases[number]
	if do == nil {
		return nil, fmt.Errorf("there is no case %d", number)
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &setting{store: newStore(), record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	s.fleet = newFleet(s.store, rec)
	var storeAddrs []string
	for n := range daemons {
		addr, err := serve(s.store.handlerFor(n))
		if err != nil {
			return nil, err
		}
		storeAddrs = append(storeAddrs, addr)
	}
	cloudAddr, err := serve(s.fleet)
	if err != nil {
		return nil, err
	}
	if s.daemons, err = newDaemons(daemons, addressesPerCase*number, dir, rec, storeAddrs, cloudAddr); err != nil {
		return nil, err
	}
	s.caller = newCaller(s.daemons, rec)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		for _, d := range s.daemons {
			d.kill()
		}
		os.Exit(exitFailed)
	}()
	defer func() {
		for _, d := range s.daemons {
			d.kill()
		}
		if logs != "" {
			copyLogs(s.daemons, logs)
		}
	}()
	return do(s)
}

// serve serves on a free port of the loopback address.
func serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

func copyLogs(daemons []*daemon, dir string) {
	for _, d := range daemons {
		raw, err := os.ReadFile(d.logPath)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(d.logPath)), raw, 0o600)
		}
		if err != nil {
			fmt.Println(err)
		}
	}
}

// startDaemons starts all daemons.
func (s *setting) startDaemons() error {
	var errs []error
	for _, d := range s.daemons {
		errs = append(errs, d.start())
	}
	return errors.Join(errs...)
}

// lastConditional returns the number of the daemon that last wrote to the store under a condition.
func (s *setting) lastConditional() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.lastConditional
}
