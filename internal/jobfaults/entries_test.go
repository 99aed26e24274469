package jobfaults

import (
	"strings"
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
		t.Run(key, func(t *testing.T) { testEntryAtKey(t, key, value) })
	}
}

// testEntryAtKey checks that jobs complete despite an entry, before and after a change of owner.
func testEntryAtKey(t *testing.T, key, value string) {
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

// TestOddEntryAtEachKey guards against daemons that end, or stop following a list, because of one entry
// that is nested deeply, has numbers out of range, long names or an odd key, or claims to be a daemon's.
func TestOddEntryAtEachKey(t *testing.T) {
	const max = "9223372036854775807"
	worker := func(fields string) string {
		return `{"Worker":"stranger","Service":"orders","Addr":"x",` + fields + `}`
	}
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	long := strings.Repeat("n", 900_000)
	for _, e := range []struct{ name, key, value string }{
		{"nested", "worker/stranger", nested},
		{"nested to the store's limit", "worker/stranger", strings.Repeat("[", 1<<20)},
		{"nested in an unknown field", "worker/stranger", worker(`"X":` + nested)},
		{"beyond the type", "worker/stranger", worker(`"Capacity":{"CPUMilli":1e400}`)},
		{"largest capacity", "worker/stranger", worker(`"Capacity":{"CPUMilli":` + max + `,"MemMB":` + max + `,"GPU":` + max + `},"ColdFor":` + max + `,"StartedMs":` + max)},
		{"largest capacity of a good worker", "worker/w-001", `{"Worker":"w-001","Service":"orders","Addr":"w-001","Capacity":{"CPUMilli":` + max + `,"MemMB":` + max + `}}`},
		{"large capacity of a good worker", "worker/w-001", `{"Worker":"w-001","Service":"orders","Addr":"w-001","Capacity":{"CPUMilli":1000000000,"MemMB":1000000000}}`},
		{"start time of a good worker", "worker/w-001", `{"Worker":"w-001","Service":"orders","Addr":"w-001","Capacity":{"CPUMilli":8000,"MemMB":8000},"StartedMs":` + max + `}`},
		{"address of a good worker", "worker/w-001", `{"Worker":"w-001","Service":"orders","Addr":"y\r\nz:0","Capacity":{"CPUMilli":8000,"MemMB":8000}}`},
		{"long names", "worker/stranger", worker(`"Capacity":{"CPUMilli":8000,"MemMB":8000},"Rack":"` + long + `","Labels":["` + long + `"]`)},
		{"id of another worker", "worker/stranger", `{"Worker":"w-001","Service":"orders","Addr":"x","Capacity":{"CPUMilli":8000,"MemMB":8000}}`},
		{"repeated keys", "worker/stranger", worker(`"Service":"billing","Addr":"y","Capacity":{"CPUMilli":8000}`)},
		{"empty", "worker/stranger", ""},
		{"no name", "worker/", worker(`"Capacity":{"CPUMilli":8000}`)},
		{"name with slashes", "worker//../w-001", worker(`"Capacity":{"CPUMilli":8000}`)},
		{"name with line breaks", "worker/a\r\nb\"'", `{"Worker":"a\r\nb\"'","Service":"orders","Addr":"x","Capacity":{"CPUMilli":8000}}`},
		{"long name", "worker/" + strings.Repeat("k", 190), "7"},
		{"configuration", "operator/catalog", nested},
		{"wave", "operator/wave/9", nested},
		{"wave under another key", "operator/wave/x", `{"Wave":1,"Instances":["m-001","m-001"],"Within":` + max + `,"MaxDown":` + max + `}`},
		{"wave of unknown instances", "operator/wave/7", `{"Wave":7,"Instances":["` + long + `"],"Within":` + max + `,"MaxDown":` + max + `}`},
		{"evacuation", "operator/evacuate/nobody\n's zone/", nested},
		{"job", "jobs/in/00000000000000ff", nested},
		{"job of largest tasks", "jobs/in/00000000000000ff", `{"ID":"00000000000000ff","Queue":"orders","Service":"orders","Steps":[{"Count":4,"Gang":true,"Need":{"CPUMilli":4611686018427387904}}]}`},
		{"progress", "progress/00000000000000fd", nested},
		{"progress of a wave", "wave/" + max, `{"Begun":` + nested + `}`},
		{"number of a wave", "wave/99999999999999999999", `{}`},
		{"member", "member/nobody", nested},
		{"member without a lease", "member/nobody", `{"Node":"nobody","Addr":"nobody:1","Cores":1e300}`},
		{"lock", "owner/lock", nested},
		{"lock without a lease", "owner/lock", `{"Node":"nobody","Addr":"nobody:1","Term":18446744073709551615}`},
		{"term", "owner/term", "18446744073709551615"},
		{"negative term", "owner/term", "-1"},
		{"revoked term", "owner/revoked", "18446744073709551615"},
		{"sequence", "sequence", `{"Term":18446744073709551615,"Write":18446744073709551615,"Orders":` + nested + `}`},
		{"orders in the sequence", "sequence", `{"Term":1,"Write":1,"Orders":[{"I":"` + long + `","H":"","A":-` + max + `}]}`},
	} {
		t.Run(e.name, func(t *testing.T) { testEntryAtKey(t, e.key, e.value) })
	}
}
