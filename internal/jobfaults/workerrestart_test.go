package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// minCrashesToGiveUp is the number of worker crashes, of any cause, after which a task may be given
// up according to the platform's specification. The workers below restart about once a second.
const minCrashesToGiveUp = 2

// TestWorkersThatRestartUnderTheirID: worker processes restart under the same ID while some starts
// go unanswered and are carried out late, possibly by the new process. The new process starts again
// with its sequence numbers of task ends and its clock, so what the owner knows of the previous
// process does not apply to it.
func TestWorkersThatRestartUnderTheirID(t *testing.T) {
	for _, c := range []struct {
		downtime time.Duration
		rounds   int
		step     int // every step-th worker restarts
	}{
		{50 * time.Millisecond, 1, 4}, {400 * time.Millisecond, 1, 4}, {3 * time.Second, 1, 4},
		{50 * time.Millisecond, 4, 1}, {400 * time.Millisecond, 4, 1}, {3 * time.Second, 4, 1},
	} {
		t.Run(fmt.Sprintf("%s, %d times", c.downtime, c.rounds), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				longRunning := longRunningJob(900)
				d.submit(ordersPrefix, longRunning)
				calls := 0
				d.in.SetFailureFunc(func(_, op string) jobfleet.Failure {
					if calls++; op == "start" && calls%7 == 0 {
						return jobfleet.Delayed
					}
					return jobfleet.NoFailure
				})
				for round := range c.rounds {
					for n := 0; n < 8; n += c.step {
						time.AfterFunc(time.Duration(n)*170*time.Millisecond, func() {
							d.in.Fleet.Restart(owner.InstanceID(fmt.Sprintf("i%d", n)), c.downtime)
						})
					}
					d.submitBatchJobs(6*round, 6)
				}
				d.awaitCompletion(30 * time.Second)
				if d.in.Checker.MaxTaskCrashes(longRunning.ID) < minCrashesToGiveUp {
					d.checkAllRunning(longRunning)
				}
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}
