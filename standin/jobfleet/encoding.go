package jobfleet

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/node"
	"github.com/postmount/postmount/jobs/owner"
)

// Encoding is the encoding of the store entries of operators and workers and of callers' jobs.
type Encoding struct {
	node.Formats
	EncodeCatalog func(*job.Catalog) []byte
	EncodeWorker  func(*owner.Registration) []byte
	EncodeWave    func(owner.WaveRequest) []byte
	EncodeJob     func(*job.Job) []byte
}

// Store keys of JSONEncoding.
const (
	keyCatalog       = "operator/catalog"
	prefixWave       = "operator/wave/"
	prefixEvacuation = "operator/evacuate/"
	prefixWorker     = "worker/"
	prefixWaveStatus = "report/wave/"
)

// JSONEncoding is the default encoding of the stand-ins: the types as JSON.
var JSONEncoding = Encoding{
	Formats: node.Formats{
		ConfigKey:        keyCatalog,
		OperatorPrefix:   "operator/",
		WavePrefix:       prefixWave,
		EvacuationPrefix: prefixEvacuation,
		WorkerPrefix:     prefixWorker,
		DecodeJob: func(raw []byte) (*job.Job, error) {
			j, err := unmarshal[job.Job](raw)
			return &j, err
		},
		CallerKey:     func(h http.Header) string { return h.Get(keyHeader) },
		DecodeCatalog: decodeCatalog,
		DecodeWorker:  func(_ string, raw []byte) (owner.Registration, error) { return unmarshal[owner.Registration](raw) },
		DecodeWave:    unmarshal[owner.WaveRequest],
		EncodeWaveStatus: func(wave int, done bool) (string, []byte) {
			state := "running"
			if done {
				state = "completed"
			}
			return fmt.Sprintf("%s%d", prefixWaveStatus, wave), []byte(state)
		},
	},
	EncodeCatalog: func(c *job.Catalog) []byte { return Encode(c) },
	EncodeWorker:  func(r *owner.Registration) []byte { return Encode(r) },
	EncodeWave:    func(w owner.WaveRequest) []byte { return Encode(w) },
	EncodeJob:     func(j *job.Job) []byte { return Encode(j) },
}

// keyHeader is the header with the API key of a caller.
const keyHeader = "Key"

// decodeCatalog decodes a configuration. Without tenants there are no API keys, so every queue
// is public.
func decodeCatalog(raw []byte) (*job.Catalog, error) {
	c, err := unmarshal[job.Catalog](raw)
	for i := range c.Queues {
		c.Queues[i].Public = c.Queues[i].Public || len(c.Tenants) == 0
	}
	return &c, err
}

// Encode returns a value as JSON.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen: all types of the stand-ins are valid JSON values
	}
	return raw
}

func unmarshal[T any](raw []byte) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}
