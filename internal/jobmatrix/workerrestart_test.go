package jobmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// minCrashesToGiveUp is after how many crashes of workers under a task it may be given up: the users'
// page says two, whatever caused them. The workers below go down once a second.
const minCrashesToGiveUp = 2

// TestWorkersThatRestartUnderTheirID: workers start again under the id that they had, while
// orders to them go unanswered and are carried out late, some by the next life. Their numbers
// of ends and their clocks start anew, so that what is known of the life before says nothing.
func TestWorkersThatRestartUnderTheirID(t *testing.T) {
	for _, c := range []struct {
		away   time.Duration
		rounds int
		step   int // between the numbers of those that restart
	}{
		{50 * time.Millisecond, 1, 4}, {400 * time.Millisecond, 1, 4}, {3 * time.Second, 1, 4},
		{50 * time.Millisecond, 4, 1}, {400 * time.Millisecond, 4, 1}, {3 * time.Second, 4, 1},
	} {
		t.Run(fmt.Sprintf("%s, %d times", c.away, c.rounds), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				lasting := longRunningJob(900)
				d.submit(ordersPrefix, lasting)
				calls := 0
				d.in.SetHook(func(_, op string) jobfleet.Failure {
					if calls++; op == "start" && calls%7 == 0 {
						return jobfleet.Delayed
					}
					return jobfleet.NoFailure
				})
				for round := range c.rounds {
					for n := 0; n < 8; n += c.step {
						time.AfterFunc(time.Duration(n)*170*time.Millisecond, func() {
							d.in.Fleet.Restart(owner.InstanceID(fmt.Sprintf("i%d", n)), c.away)
						})
					}
					d.submitBatchJobs(6*round, 6)
				}
				d.awaitCompletion(30 * time.Second)
				if d.in.Checker.MaxTaskCrashes(lasting.ID) < minCrashesToGiveUp {
					d.checkAllRunning(lasting)
				}
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}
