package jobfleet

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/postmount/postmount/jobs/job"
)

// givenUpEvent is the log message of a daemon that gives a task up because it crashes its workers.
const givenUpEvent = "task-given-up"

// givenUpCore is a log core that reports the tasks that daemons give up to the checker. Callers do
// not learn of them if the other tasks of the job continue.
type givenUpCore struct{ checker *Checker }

// watchGivenUp returns a logger that also reports the tasks that are given up to the checker.
func watchGivenUp(log *zap.Logger, c *Checker) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewTee(core, givenUpCore{c})
	}))
}

// Enabled implements zapcore.Core.
func (g givenUpCore) Enabled(l zapcore.Level) bool { return l >= zapcore.InfoLevel }

// With implements zapcore.Core. No logger of a daemon has a field for the task or its job.
func (g givenUpCore) With([]zapcore.Field) zapcore.Core { return g }

// Check implements zapcore.Core.
func (g givenUpCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message != givenUpEvent {
		return ce
	}
	return ce.AddCore(e, g)
}

// Write implements zapcore.Core.
func (g givenUpCore) Write(_ zapcore.Entry, fields []zapcore.Field) error {
	values := map[string]string{}
	for _, f := range fields {
		values[f.Key] = f.String
	}
	g.checker.givenUp(job.ID(values["job"]), values["task"], values["why"])
	return nil
}

// Sync implements zapcore.Core.
func (g givenUpCore) Sync() error { return nil }

// givenUp checks that a task which a daemon gives up is in a job with a task that crashes its
// workers. Runs of the same job are not isolated from each other, so that another one may be named.
func (c *Checker) givenUp(id job.ID, task, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUpTasks++
	if !c.hasCrasher(id) {
		c.addViolation("task %s is given up (%s), but no task of its job crashes its workers", task, why)
	}
}

// GivenUpTasks returns how often a daemon has given a task up.
func (c *Checker) GivenUpTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUpTasks
}
