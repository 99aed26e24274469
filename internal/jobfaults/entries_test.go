package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// malformedEntries maps store keys to malformed values, as another writer might leave them. No
// caller submits a job with the IDs used here.
var malformedEntries = map[string]string{
	"worker/stranger":           `{"Service":"orders"}`,
	"worker/of-no-service":      `{"Worker":"of-no-service","Service":"nobody's","Addr":"x","Room":{"CPUMilli":64000,"MemMB":64000}}`,
	"worker/\xff":               "\xff",
	"operator/catalog":          `{"Version":"new"}`,
	"operator/wave/9":           `{"Wave":9,"Instances":"all"}`,
	"jobs/in/00000000000000ff":  `{"ID":"00000000000000ff","Queue":"orders","Service":"orders","Steps":[{"Count":1,"After":[3]}]}`,
	"jobs/cx/00000000000000fe":  "\x00",
	"progress/00000000000000fd": `[]`,
	"wave/8":                    `{`,
	"member/nobody":             `null`,
	"owner/lock":                `"mine"`,
	"owner/term":                `many`,
	"sequence":                  "\xfe",
	"owner/something":           `{}`,
}

// TestMalformedEntryAtEachKey: jobs complete despite a malformed entry at any key, before and after
// a change of owner.
func TestMalformedEntryAtEachKey(t *testing.T) {
	for key, value := range malformedEntries {
		t.Run(key, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				longRunning := longRunningJob(100)
				d.submit(ordersPrefix, longRunning)
				d.submitBatchJobs(0, 4)
				d.in.Store.Put(key, []byte(value))
				d.submitBatchJobs(4, 4)
				if o := d.in.Owner(); o != nil {
					d.in.Kill(o.Name)
					if key != "operator/catalog" { // without a configuration a daemon is not ready and receives no calls
						restartLater(d, o.Name)
					}
				}
				d.submitBatchJobs(8, 4)
				d.awaitCompletion(30 * time.Second)
				d.checkAllRunning(longRunning)
				assert.NotNil(t, d.in.Owner())
			})
		})
	}
}

// TestMalformedWorkerEntryDoesNotEndTasks: the entry of a busy worker is overwritten. Its tasks continue,
// no new task starts there, and the worker is used again once its entry is valid.
func TestMalformedWorkerEntryDoesNotEndTasks(t *testing.T) {
	simulate(t, func(d *deployment) {
		j := batchJob(0)
		j.Steps = []job.Step{{Count: 4, Need: job.Resources{CPUMilli: 8000, MemMB: 100}, Estimate: 4 * time.Second}}
		d.submit(ordersPrefix, j) // one task per worker
		time.Sleep(time.Second)
		started := d.in.Checker.Starts()
		for _, w := range []string{"w-001", "w-002"} {
			d.in.Store.Put("worker/"+w, []byte("\xff"))
		}
		d.awaitCompletion(20 * time.Second)
		assert.Equal(t, 4, started)
		assert.Equal(t, 4, d.in.Checker.Starts(), "no task is lost")
	})
}
