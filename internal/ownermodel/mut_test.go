package ownermodel

import "testing"

func TestM(t *testing.T) {
	for name, f := range map[string]func(r *Rules){
		"holds":   func(r *Rules) { r.HoldsBounded = false },
		"starts":  func(r *Rules) { r.StartsBounded = false },
		"infull":  func(r *Rules) { r.GrantsInFull = false },
		"lapse":   func(r *Rules) { r.LapseNeedsStore = false },
		"tasks":   func(r *Rules) { r.OnlyKnownTasks = false },
		"workers": func(r *Rules) { r.OnlyKnownWorker = false },
		"leaving": func(r *Rules) { r.LeavingIsOver = false },
		"ack":     func(r *Rules) { r.AckOnlyStored = false },
		"fence":   func(r *Rules) { r.Fence = false },
		"wait":    func(r *Rules) { r.TakeoverWait = false },
		"lock":    func(r *Rules) { r.LockCondition = false },
	} {
		t.Run(name, func(t *testing.T) {
			r := mended()
			f(&r)
			b := scopes["join"]
			b.MaxStates = 2e6
			show(t, name, Model{r, b})
		})
	}
}
