package ownermodel

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var today = Rules{AckOnlyStored: true, Fence: true, TakeoverWait: true, LockCondition: true, RunsByTerm: true, StopUnanswered: true, RefuseOld: true, RefuseLate: true, StoppedByLease: true, LapsedEndsVoid: true}

func mended() Rules {
	r := today
	r.HoldsBounded, r.StartsBounded, r.GrantsInFull, r.LapseNeedsStore, r.OnlyKnownTasks, r.OnlyKnownWorker, r.WaitNeedsStore, r.LeavingIsOver = true, true, true, true, true, true, true, true
	return r
}

func show(t *testing.T, name string, m Model) {
	b := time.Now()
	r := m.Explore()
	fmt.Printf("%s: %d states depth %d complete %v in %v: %s\n  %s\n", name, r.States, r.Depth, r.Complete, time.Since(b), r.Broken, strings.Join(r.Trace, "\n  "))
}

var scopes = map[string]Bounds{
	"a":      {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1},
	"late":   {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Late: 1},
	"late2":  {Terms: 2, Starts: 2, Tasks: 1, Attempts: 1, Late: 1},
	"join":   {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, LateWorker: true, LateTasks: true},
	"joinw":  {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, LateWorker: true},
	"joint":  {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, LateTasks: true},
	"fail":   {Terms: 2, Starts: 2, Tasks: 1, Attempts: 2, Failures: true},
	"fail1":  {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Failures: true},
	"rel":    {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Release: true},
	"rev":    {Terms: 2, Starts: 1, Tasks: 1, Attempts: 1, Revoke: true},
	"t2":     {Terms: 2, Starts: 1, Tasks: 2, Attempts: 1},
	"t22":    {Terms: 2, Starts: 2, Tasks: 2, Attempts: 1},
	"terms3": {Terms: 3, Starts: 1, Tasks: 1, Attempts: 1},
}

func TestX(t *testing.T) {
	for n, b := range scopes {
		t.Run(n, func(t *testing.T) {
			b.MaxStates = 12e6
			show(t, n, Model{mended(), b})
		})
	}
}
