package ownermodel

import (
	"fmt"
	"testing"
)

func TestY(t *testing.T) {
	for _, m := range []struct {
		name   string
		scopes []string
		off    func(r *Rules)
	}{
		{"relends", []string{"rel"}, func(r *Rules) { r.ReleaseEndsCertainty = false }},
		{"relfinal", []string{"rel"}, func(r *Rules) { r.ReleaseIsFinal = false }},
		{"needsgrant", []string{"a"}, func(r *Rules) { r.LapseNeedsGrant = false }},
		{"fence", []string{"a"}, func(r *Rules) { r.Fence = false }},
		{"wait", []string{"a"}, func(r *Rules) { r.TakeoverWait = false }},
		{"byterm", []string{"a"}, func(r *Rules) { r.RunsByTerm = false }},
		{"bylease", []string{"a"}, func(r *Rules) { r.StoppedByLease = false }},
		{"ack", []string{"a", "fail1"}, func(r *Rules) { r.AckOnlyStored = false }},
		{"lock", []string{"a", "fail1", "fail2"}, func(r *Rules) { r.LockCondition = false }},
		{"stopun", []string{"late", "late2"}, func(r *Rules) { r.StopUnanswered = false }},
		{"refold", []string{"late", "late2"}, func(r *Rules) { r.RefuseOld = false }},
		{"reflate", []string{"late", "late2"}, func(r *Rules) { r.RefuseLate = false }},
	} {
		for _, s := range m.scopes {
			t.Run(fmt.Sprintf("%s/%s", m.name, s), func(t *testing.T) {
				b := scopes[s]
				b.StoreLease, b.TaskLease = 1, 2
				b.MaxStates = 25e5
				r := mended()
				r.RevokedWait, r.RenewalProves = false, false
				m.off(&r)
				show(t.Name(), Model{r, b})
			})
		}
	}
}

func TestV(t *testing.T) {
	for _, m := range []struct {
		name   string
		scopes []string
		off    func(r *Rules)
	}{
		{"infull", []string{"a", "a2"}, func(r *Rules) { r.GrantsInFull = false }},
		{"tasks", []string{"joint"}, func(r *Rules) { r.OnlyKnownTasks = false }},
		{"waitneeds", []string{"a", "a2", "terms3"}, func(r *Rules) { r.WaitNeedsStore = false }},
		{"lapse", []string{"a2"}, func(r *Rules) { r.LapseNeedsStore = false }},
	} {
		for _, s := range m.scopes {
			t.Run(fmt.Sprintf("%s/%s", m.name, s), func(t *testing.T) {
				b := scopes[s]
				b.StoreLease, b.TaskLease = 1, 2
				b.MaxStates = 25e5
				r := mended()
				r.RevokedWait, r.RenewalProves = false, false
				m.off(&r)
				show(t.Name(), Model{r, b})
			})
		}
	}
}
