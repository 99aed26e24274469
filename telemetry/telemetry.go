// Package telemetry provides the daemon's metrics and logging.
package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/slo"
	"github.com/postmount/postmount/verdict"
)

// Metrics is the root scope of the daemon's metrics with its scrape endpoint.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// reportInterval is how often the scrape endpoint's values are updated.
const reportInterval = time.Second

// NewMetrics returns an empty set of metrics with the prefix "postmount".
func NewMetrics() *Metrics {
	// Not the global registry, as several daemons may run in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "postmount",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewLogger returns a logger that writes to w in format "console" or, otherwise, JSON.
func NewLogger(level, format string, w io.Writer) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	if format == "console" {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	return zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), lvl)), nil
}

// RequestObserver implements entry.Observer: it records metrics, the error budget and changes of
// workers' health.
type RequestObserver struct {
	Scope     tally.Scope
	Log       *zap.Logger
	Burn      *slo.Recorder
	Directory func() *directory.Directory
}

// latencyBuckets are the buckets of the request latency histogram, 1 ms to 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Answered implements entry.Observer. A request that could not be routed is a client error and
// counts against no objective.
func (t *RequestObserver) Answered(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, code verdict.Code, status int, took time.Duration) {
	tags := map[string]string{"service": string(service), "class": string(class), "verdict": v.String(), "code": string(code)}
	scope := t.Scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	if service == "" {
		return
	}
	t.Scope.Tagged(map[string]string{"service": string(service), "class": string(class)}).Histogram("latency", latencyBuckets).RecordDuration(took)
	t.Burn.Record(time.Now(), slo.Key{Service: service, Class: class}, t.meetsObjective(service, class, v, status, took))
}

// meetsObjective reports whether a request met its service's objective. Client errors
// count as met.
func (t *RequestObserver) meetsObjective(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, status int, took time.Duration) bool {
	if v != verdict.Done {
		return status < http.StatusInternalServerError // 4xx: client error
	}
	if status >= http.StatusInternalServerError {
		return false
	}
	svc := t.Directory().Services[service]
	if svc == nil {
		return true
	}
	for _, k := range svc.Classes {
		if k.Name == class && k.Objective.Latency > 0 {
			return took <= k.Objective.Latency
		}
	}
	return true
}

// AttemptEnded implements entry.Observer.
func (t *RequestObserver) AttemptEnded(service fleet.ServiceName, _ fleet.InstanceID, attempt int, err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(verdict.CodeOf(err))
	}
	retried := "false"
	if attempt > 1 {
		retried = "true"
	}
	t.Scope.Tagged(map[string]string{"service": string(service), "outcome": outcome, "retry": retried}).Counter("tries").Inc(1)
}

// HealthChanged implements entry.Observer.
func (t *RequestObserver) HealthChanged(service fleet.ServiceName, worker fleet.InstanceID, ejected bool) {
	if ejected {
		t.Log.Info("worker ejected from rotation", zap.String("service", string(service)), zap.String("worker", string(worker)))
		return
	}
	t.Log.Info("worker returned to rotation", zap.String("service", string(service)), zap.String("worker", string(worker)))
}
