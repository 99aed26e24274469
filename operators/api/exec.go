package api

import (
	"context"
	"fmt"
	"time"

	"github.com/postmount/postmount/operators/command"
	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/verdict"
)

// Executor executes statements: it plans each statement, writes the records that the
// plan changes, and waits until the live members have applied the change.
type Executor struct {
	Store  port.Store
	Writer *record.Writer
	Mirror *mirror.Mirror
	// Snapshot returns what the daemon knows of the fleet. Its records are replaced
	// by the newest ones of Mirror.
	Snapshot func() *control.Snapshot
	// WaitInForce waits until every live member has applied revision rev and
	// returns those that have not when ctx ends.
	WaitInForce func(ctx context.Context, rev fleet.Revision) []fleet.EntryID
}

// Limits of executing one statement.
const (
	// writeTimeout bounds all writes of one statement, retries included.
	writeTimeout = 8 * time.Second
	// inForceTimeout bounds the wait until every live member has applied a change.
	inForceTimeout = 4 * time.Second
	// maxPlans bounds how often a statement is planned: it is planned again
	// after each write and each write conflict.
	maxPlans = 200
)

// Exec executes the statements of p in order and stops at the first that fails.
// If it is called again with the same id, what was written is not written again.
func (e *Executor) Exec(ctx context.Context, id string, p *query.Program) []Result {
	var results []Result
	for i, s := range p.Statements {
		commandID := fleet.CommandID(fmt.Sprintf("%s/%d", id, i+1))
		r := e.execStatement(ctx, commandID, s)
		r.Statement = i + 1
		results = append(results, r)
		if r.Verdict != verdict.Done {
			break
		}
	}
	return results
}

func (e *Executor) execStatement(ctx context.Context, id fleet.CommandID, s *query.Statement) Result {
	plan, err := e.planAndWrite(ctx, id, s)
	if err != nil {
		return Result{Verdict: verdict.Of(err), Code: verdict.CodeOf(err), Message: err.Error()}
	}
	if plan.Table != nil {
		return Result{Verdict: verdict.Done, Table: plan.Table, InForce: true}
	}
	r := Result{Verdict: verdict.Done, Message: plan.Summary, Revision: int64(plan.Revision)}
	recordedAt := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, member := range e.WaitInForce(waitCtx, plan.Revision) {
		r.Behind = append(r.Behind, string(member))
	}
	r.InForce = len(r.Behind) == 0
	r.InForceMillis = time.Since(recordedAt).Milliseconds()
	return r
}

// planAndWrite plans and writes until nothing is left to write. After a write
// conflict it plans again from the current record; the plan decides whether the
// other change prevents the statement.
func (e *Executor) planAndWrite(ctx context.Context, id fleet.CommandID, s *query.Statement) (command.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, skipReload := false, s.ReadOnly()
	for range maxPlans {
		plan, err := command.PlanStep(s, command.Input{ID: id, Now: time.Now(), Snapshot: e.latestSnapshot()})
		if err != nil && !skipReload {
			// The mirror may lag behind the store, where another daemon may already
			// have executed the same command. Reload once before reporting the error.
			skipReload = true
			if listErr := e.reloadAll(ctx); listErr != nil {
				return plan, mayHaveRunIfWritten(listErr, written)
			}
			continue
		}
		if err != nil {
			return plan, mayHaveRunIfWritten(err, written)
		}
		if plan.Write == nil {
			return plan, nil
		}
		w, err := plan.Write.Do(ctx, e.Writer)
		switch {
		case err == nil:
			written = true
			e.Mirror.Apply([]port.Event{{KV: w.KV}}, 0)
		case verdict.CodeOf(err) == record.CodeConflict:
			if err := e.reloadKey(ctx, plan.Write.Key); err != nil {
				return plan, mayHaveRunIfWritten(err, written)
			}
		default:
			return plan, mayHaveRunIfWritten(err, written)
		}
	}
	return command.Plan{}, mayHaveRunIfWritten(verdict.New(verdict.NotRun, record.CodeConflict, "statement still incomplete after %d writes and write conflicts", maxPlans), written)
}

// mayHaveRunIfWritten changes the verdict NotRun of err to MayHaveRun if a part of the
// statement was written.
func mayHaveRunIfWritten(err error, written bool) error {
	if !written || verdict.Of(err) != verdict.NotRun {
		return err
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOf(err), "statement partly executed")
}

// latestSnapshot returns the current snapshot with the newest records.
func (e *Executor) latestSnapshot() *control.Snapshot {
	s := *e.Snapshot()
	s.State = e.Mirror.State()
	return &s
}

// reloadAll reads every record from the store into the mirror.
func (e *Executor) reloadAll(ctx context.Context) error {
	l, err := e.Store.List(ctx, record.Root)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, port.CodeStoreUnavailable, "read all records from the store")
	}
	e.Mirror.Replace(l)
	return nil
}

// reloadKey reads one record into the mirror after a write conflict.
func (e *Executor) reloadKey(ctx context.Context, key string) error {
	kv, found, err := e.Store.Get(ctx, key)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, port.CodeStoreUnavailable, "read record %s from the store", key)
	}
	if !found {
		kv = port.KV{Key: key, Revision: kv.Revision}
	}
	e.Mirror.Apply([]port.Event{{KV: kv, Deleted: !found}}, 0)
	return nil
}
