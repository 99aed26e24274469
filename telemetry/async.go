package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of a log.
const (
	// asyncLines is how many lines wait for a slow reader of the log; more are
	// dropped and counted. At 200 bytes a line that is under a megabyte.
	asyncLines = 4096
	// sampleTick, sampleFirst and sampleEach bound the volume: of one event in a
	// second the first lines are written, then one in so many.
	sampleTick  = time.Second
	sampleFirst = 60
	sampleEach  = 50
)

// AsyncWriter writes lines from a goroutine of its own. A full buffer drops
// lines; writers never wait.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	ending  chan struct{} // closed by Close
	done    chan struct{} // closed when what waited is written
	end     sync.Once
}

// NewAsyncWriter returns a writer of lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), out: out, ending: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line. After Close lines are dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.ending:
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

// Dropped returns how many lines were dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the goroutine.
func (w *AsyncWriter) Close() error {
	w.end.Do(func() { close(w.ending) })
	<-w.done
	return nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	said := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.put(line, &said)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.put(line, &said)
		case <-w.ending:
			return // nothing waits
		}
	}
}

// put writes a line and, once the buffer is empty, how many were dropped. A log
// that cannot be written has nowhere to say so.
func (w *AsyncWriter) put(line []byte, said *int64) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Load(); n > *said && len(w.lines) == 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","msg":"log-lines-dropped","count":%d}`+"\n", n-*said)
		*said = n
	}
}

// Sampled limits how often one event is written. onDrop is called for each line
// that is left out.
func Sampled(log *zap.Logger, onDrop func()) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, sampleTick, sampleFirst, sampleEach,
			zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
				if d&zapcore.LogDropped != 0 {
					onDrop()
				}
			}))
	}))
}
