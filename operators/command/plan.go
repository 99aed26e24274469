// Package command plans the execution of operators' statements. Planning has no
// side effects: from a statement and a snapshot it derives either a table or one
// record to write. A statement that needs several writes is planned again after
// each, until nothing is left to write.
package command

import (
	"context"
	"fmt"
	"time"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/verdict"
)

// Table is the output of a statement that reads.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// RecordWrite is one record to write.
type RecordWrite struct {
	Key  string
	Base fleet.Revision // revision that the write replaces, 0 for a new record
	// Do stores the record by compare-and-swap.
	Do func(ctx context.Context, w *record.Writer) (record.Written, error)
}

// Plan is the next step of a statement.
type Plan struct {
	Table *Table       // set for a statement that reads
	Write *RecordWrite // set while a record is left to write
	// Summary describes the effect of the statement. It is set once nothing is left
	// to write.
	Summary  string
	Revision fleet.Revision // of the record that holds the effect
}

// Codes of refused statements.
const (
	CodeUnknownName verdict.Code = "unknown-name"
	CodeExists      verdict.Code = "exists-already"
	CodeNotAllowed  verdict.Code = "not-allowed"
	CodeChanged     verdict.Code = "changed-meanwhile"
)

// refuse returns an error with verdict NotRun.
func refuse(code verdict.Code, format string, args ...any) error {
	return verdict.New(verdict.NotRun, code, format, args...)
}

// Input is what a statement is planned from.
type Input struct {
	ID       fleet.CommandID // repeats of a command have the same ID
	Now      time.Time
	Snapshot *control.Snapshot
}

// PlanStep plans the next step of statement s. An error has verdict NotRun.
func PlanStep(s *query.Statement, in Input) (Plan, error) {
	p := &planner{Input: in, state: in.Snapshot.State, atRevision: fleet.Revision(s.AtRevision)}
	switch {
	case s.Show != nil:
		return p.show(s.Show)
	case s.Why != nil:
		return p.why(s.Why)
	case s.Drain != nil:
		return p.drain(fleet.InstanceID(s.Drain.Instance))
	case s.Return != nil:
		return p.returnInstance(fleet.InstanceID(s.Return.Instance))
	case s.Move != nil:
		return p.move(fleet.InstanceID(s.Move.Instance), fleet.PoolName(s.Move.Pool))
	case s.Create != nil:
		return p.create(s.Create)
	case s.Add != nil:
		return p.addInstances(s.Add)
	case s.Set != nil:
		return p.set(s.Set)
	case s.StartWave != nil:
		return p.startWave(s.StartWave)
	case s.ChangeWave != nil:
		return p.changeWave(s.ChangeWave)
	case s.Submit != nil:
		return p.submit(s.Submit)
	case s.CancelJobs != nil:
		return p.cancelJobs(s.CancelJobs)
	}
	return Plan{}, refuse(CodeNotAllowed, "empty statement")
}

// planner plans one statement.
type planner struct {
	Input
	state      *fleet.State
	atRevision fleet.Revision // the operator's "at revision", 0 if not given
}

// planWrite returns a plan that replaces base by value. It refuses if the record has
// changed since the operator's "at revision".
func planWrite[T any](p *planner, key string, base fleet.Versioned[T], value *T) (Plan, error) {
	if p.atRevision != 0 && base.Revision > p.atRevision {
		return Plan{}, refuse(CodeChanged, "%s was changed at revision %d, after revision %d", key, base.Revision, p.atRevision)
	}
	return Plan{Write: &RecordWrite{Key: key, Base: base.Revision, Do: func(ctx context.Context, w *record.Writer) (record.Written, error) {
		return record.Write(ctx, w, key, base, value, 0)
	}}}, nil
}

// completed returns the plan of a statement with nothing left to write. rev is the
// revision of the record that holds its effect.
func completed(rev fleet.Revision, format string, args ...any) (Plan, error) {
	return Plan{Summary: fmt.Sprintf(format, args...), Revision: rev}, nil
}

// pool returns a pool's record, or an error if there is none.
func (p *planner) pool(name fleet.PoolName) (fleet.Versioned[fleet.Pool], error) {
	v, ok := p.state.Pools[name]
	if !ok {
		return v, refuse(CodeUnknownName, "there is no pool %q", name)
	}
	return v, nil
}

// poolOfInstance returns the record of the pool that an instance belongs to.
func (p *planner) poolOfInstance(id fleet.InstanceID) (fleet.Versioned[fleet.Pool], error) {
	m := p.state.Membership(id)
	if m == nil {
		return fleet.Versioned[fleet.Pool]{}, refuse(CodeUnknownName, "instance %q belongs to no pool", id)
	}
	return p.pool(m.Pool)
}

// disruptionOf returns the disruption of an instance and the pool that records it, or
// nil if it has none. During a move that is still the old pool.
func (p *planner) disruptionOf(id fleet.InstanceID) (fleet.Versioned[fleet.Pool], *fleet.Disruption) {
	for _, name := range p.state.SortedPools() {
		v := p.state.Pools[name]
		if d := v.Value.Disruption(id); d != nil {
			return v, d
		}
	}
	return fleet.Versioned[fleet.Pool]{}, nil
}
