package ownermodel

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

func show(name string, m Model) {
	b := time.Now()
	r := m.Explore()
	st := "OK"
	if !r.Complete {
		st = "INCOMPLETE"
	}
	if r.Broken != "" {
		st = "BROKEN"
	}
	fmt.Printf("%-24s %s %d states depth %d in %v: %s\n", name, st, r.States, r.Depth, time.Since(b).Round(time.Millisecond), r.Broken)
	if os.Getenv("TRACE") != "" {
		fmt.Printf("  %s\n", strings.Join(r.Trace, "\n  "))
	}
}

var today = Rules{AckOnlyStored: true, Fence: true, TakeoverWait: true, LockCondition: true, RunsByTerm: true, StopUnanswered: true, RefuseOld: true, LapseNeedsGrant: true, RefuseLate: true, StoppedByLease: true}

func mended() Rules {
	r := today
	r.HoldsBounded, r.StartsBounded, r.GrantsInFull, r.LapseNeedsStore, r.OnlyKnownTasks, r.OnlyKnownWorker, r.WaitNeedsStore = true, true, true, true, true, true, true
	r.ReleaseEndsCertainty, r.ReleaseIsFinal = true, true
	r.RevokedWait, r.RenewalProves = true, true
	return r
}

var scopes = map[string]Bounds{
	"a":        {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1},
	"a2":       {Terms: 2, Starts: 2, Tasks: 1, Attempts: 1},
	"late":     {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Late: 1},
	"join":     {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, LateWorker: true, LateTasks: true},
	"fail1":    {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Failures: true},
	"rel":      {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Release: true},
	"rev":      {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Revoke: true},
	"late2":    {Terms: 2, Starts: 2, Tasks: 1, Attempts: 1, Late: 1},
	"joint":    {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, LateTasks: true},
	"fail2":    {Terms: 2, Starts: 2, Tasks: 1, Attempts: 2, Failures: true},
	"rev2":     {Terms: 2, Starts: 2, Tasks: 1, Attempts: 1, Revoke: true},
	"revt":     {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Revoke: true, LateTasks: true},
	"revabs":   {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Revoke: true, LateTasks: true, Absent: true},
	"t2":       {Terms: 2, Starts: 1, Tasks: 2, Attempts: 1},
	"terms3":   {Terms: 3, Starts: 1, Tasks: 1, Attempts: 1},
	"terms3rr": {Terms: 3, Starts: 1, Tasks: 1, Attempts: 1, Revoke: true, Release: true},
}

func TestX(t *testing.T) {
	for n, b := range scopes {
		for _, l := range [][2]int8{{1, 2}, {2, 3}} {
			t.Run(fmt.Sprintf("%s-%d", n, l[0]), func(t *testing.T) {
				b := b
				b.StoreLease, b.TaskLease = l[0], l[1]
				b.MaxStates = 5e6
				show(t.Name(), Model{mended(), b})
			})
		}
	}
}
