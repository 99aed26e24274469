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

// reportInterval is the interval at which the values of the scrape endpoint are updated.
const reportInterval = time.Second

// NewMetrics returns an empty set of metrics with the prefix "postmount".
func NewMetrics() *Metrics {
	// The global registry cannot be used, as several daemons may run in one process.
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

// Close stops updating the values of the scrape endpoint.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewLogger returns a logger that writes lines of at least the given level to w. They are JSON
// unless format is "console".
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

// RequestObserver implements entry.Observer. It records metrics of requests and the use of the
// error budget, and logs changes of workers' health.
type RequestObserver struct {
	Scope     tally.Scope
	Log       *zap.Logger
	Burn      *slo.Recorder // counts requests that met and missed their objective
	Directory func() *directory.Directory
}

// latencyBuckets are the buckets of the request latency histogram, 1 ms to 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Answered implements entry.Observer. A request without a service could not be routed: it is a
// client error and counts towards no objective.
func (o *RequestObserver) Answered(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, code verdict.Code, status int, took time.Duration) {
	tags := map[string]string{"service": string(service), "class": string(class), "verdict": v.String(), "code": string(code)}
	scope := o.Scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	if service == "" {
		return
	}
	o.Scope.Tagged(map[string]string{"service": string(service), "class": string(class)}).Histogram("latency", latencyBuckets).RecordDuration(took)
	o.Burn.Record(time.Now(), slo.Key{Service: service, Class: class}, o.meetsObjective(service, class, v, status, took))
}

// meetsObjective reports whether a request met the objective of its service and class. Client
// errors count as met.
func (o *RequestObserver) meetsObjective(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, status int, took time.Duration) bool {
	if v != verdict.Done {
		return status < http.StatusInternalServerError // 4xx: client error
	}
	if status >= http.StatusInternalServerError {
		return false
	}
	svc := o.Directory().Services[service]
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
func (o *RequestObserver) AttemptEnded(service fleet.ServiceName, _ fleet.InstanceID, attempt int, err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(verdict.CodeOf(err))
	}
	retried := "false"
	if attempt > 1 {
		retried = "true"
	}
	o.Scope.Tagged(map[string]string{"service": string(service), "outcome": outcome, "retry": retried}).Counter("tries").Inc(1)
}

// HealthChanged implements entry.Observer.
func (o *RequestObserver) HealthChanged(service fleet.ServiceName, worker fleet.InstanceID, ejected bool) {
	if ejected {
		o.Log.Info("worker ejected from rotation", zap.String("service", string(service)), zap.String("worker", string(worker)))
		return
	}
	o.Log.Info("worker returned to rotation", zap.String("service", string(service)), zap.String("worker", string(worker)))
}
