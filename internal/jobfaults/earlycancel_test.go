package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// chainJob returns a job of steps that follow each other and take 0.9 s each.
func chainJob(id job.ID, steps int) *job.Job {
	j := &job.Job{ID: id}
	for n := range steps {
		s := job.Step{Count: 2, Need: job.Resources{CPUMilli: 500, MemMB: 100}, Estimate: 900 * time.Millisecond}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// testCancelBeforeSubmission submits a job at a daemon on which a fault delays the submission, and cancels it at another
// one 0.9 s later.
func testCancelBeforeSubmission(t *testing.T, fault func(d *deployment, submittedAt *jobfleet.Daemon)) {
	simulate(t, func(d *deployment) {
		var others []*jobfleet.Daemon
		for _, dm := range d.in.Daemons() {
			if dm != d.in.Owner() {
				others = append(others, dm)
			}
		}
		j := chainJob("00000000000000ac", 6)
		fault(d, others[0])
		submitted := make(chan bool)
		go func() {
			accepted, _ := d.in.CallerTo(others[0]).Submit(ordersPrefix, j)
			submitted <- accepted
		}()
		time.Sleep(900 * time.Millisecond)
		require.False(t, d.in.CallerTo(others[1]).Cancel(ordersPrefix, j.ID), "it is not known yet")
		assert.False(t, <-submitted)
		time.Sleep(12 * time.Second)
		assert.Empty(t, d.in.Checker.Violations())
		assert.Zero(t, d.in.Checker.Starts(), "the job was cancelled before it was stored")
	})
}

// TestCancelOvertakesASubmissionInAFrozenDaemon guards against a job that runs after its cancelling was answered with "no
// such job": its submission waited in a daemon that was frozen.
func TestCancelOvertakesASubmissionInAFrozenDaemon(t *testing.T) {
	testCancelBeforeSubmission(t, func(_ *deployment, at *jobfleet.Daemon) { at.Gate.Freeze(1300 * time.Millisecond) })
}

// TestCancelOvertakesASubmissionOnItsWayToTheStore guards against the same if the store carries out the submission late.
func TestCancelOvertakesASubmissionOnItsWayToTheStore(t *testing.T) {
	testCancelBeforeSubmission(t, func(d *deployment, at *jobfleet.Daemon) {
		began := time.Now()
		d.in.SetFailureFunc(func(daemon, op string) jobfleet.Failure {
			if daemon == at.Name && op == "commit" && time.Since(began) < 2*time.Second {
				return jobfleet.Delayed
			}
			return jobfleet.NoFailure
		})
	})
}
