package telemetry

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a log.
const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log; further lines are
	// dropped and counted. At 200 bytes per line the queue takes less than 1 MB.
	maxQueuedLines = 4096
	// In each sampleTick, the first sampleFirst lines of an event are written, then every
	// sampleThereafter-th.
	sampleTick       = time.Second
	sampleFirst      = 60
	sampleThereafter = 50
)

// AsyncWriter writes lines from its own goroutine. Writers never block: lines are dropped while
// the queue is full.
type AsyncWriter struct {
	lines     chan []byte
	dropped   atomic.Int64
	out       io.Writer
	closing   chan struct{} // closed by Close
	done      chan struct{} // closed once the queue is written
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer to out. The caller must close it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. line must be one complete line. After Close lines are dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the goroutine.
func (w *AsyncWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// run writes the queued lines until the writer is closed.
func (w *AsyncWriter) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line, &reported)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.writeLine(line, &reported)
		case <-w.closing:
			return // the queue is empty
		}
	}
}

// writeLine writes a line and, once the queue is empty, the number of lines dropped since the
// last such report. Errors are ignored: there is no other log to report them to.
func (w *AsyncWriter) writeLine(line []byte, reported *int64) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Load(); n > *reported && len(w.lines) == 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","msg":"log-lines-dropped","count":%d}`+"\n", n-*reported)
		*reported = n
	}
}

// Sampled returns a logger to log that limits how often each event is written, except the unsampled
// ones. onDrop is called for each line that is left out.
func Sampled(log *zap.Logger, unsampled []string, onDrop func()) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		sampler := zapcore.NewSamplerWithOptions(c, sampleTick, sampleFirst, sampleThereafter,
			zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					onDrop()
				}
			}))
		return &selectiveSampler{Core: sampler, all: c, unsampled: unsampled}
	}))
}

// selectiveSampler samples all events but some.
type selectiveSampler struct {
	zapcore.Core              // samples
	all          zapcore.Core // writes every line
	unsampled    []string     // events that are not sampled
}

// Check implements zapcore.Core.
func (s *selectiveSampler) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if slices.Contains(s.unsampled, e.Message) {
		return s.all.Check(e, ce)
	}
	return s.Core.Check(e, ce)
}

// With implements zapcore.Core.
func (s *selectiveSampler) With(fields []zapcore.Field) zapcore.Core {
	return &selectiveSampler{Core: s.Core.With(fields), all: s.all.With(fields), unsampled: s.unsampled}
}
