package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// TestJobsThatWouldBeLateAreNotAdmitted: the owner gets to new work in five seconds; a
// small job could spare one.
func TestJobsThatWouldBeLateAreNotAdmitted(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := &job.Queue{Name: "q", Stretch: 1.6, Objective: 600 * time.Millisecond}
	small := job.Job{Steps: []job.Step{{Count: 8, Estimate: 800 * time.Millisecond}}}
	large := job.Job{Steps: []job.Step{{Count: 8, Estimate: 8 * time.Second}}}
	lasting := job.Job{Steps: []job.Step{{Count: 8, Estimate: 800 * time.Millisecond, LongRunning: true}}}
	timed := job.Job{Steps: small.Steps, Repeat: 2, StartAt: now.Add(time.Hour)}
	const wait = 5 * time.Second
	for _, c := range []struct {
		name  string
		job   job.Job
		wait  time.Duration
		later time.Duration // since the owner said so
		after time.Duration
	}{
		{"the owner keeps up", small, 0, 0, 0},
		{"it would be late", small, wait, time.Second, wait - 1080*time.Millisecond},
		{"it has time to spare", large, wait, time.Second, 0},
		{"it runs until it is cancelled", lasting, wait, time.Second, 0},
		{"it is due later", timed, wait, time.Second, 0},
		{"what the owner said is old", small, wait, reportedWaitAge + 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a admission
			assert.Zero(t, a.tooLate(&c.job, queue, now), "nothing was said yet")
			a.learn(c.wait, now)
			assert.Equal(t, c.after, a.tooLate(&c.job, queue, now.Add(c.later)))
		})
	}
}
