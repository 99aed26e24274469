package owner

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// AdviceQuery asks the advisor which of the workers may run a step.
type AdviceQuery struct {
	Step    StepID
	Workers []WorkerID
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        job.ID
	Occurrence int
	Step       int
}

// String formats the ID as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Permit allows a worker to run a step; the start has to carry the ticket.
type Permit struct {
	Worker WorkerID
	Ticket string
}

// Advice is the answer to an AdviceQuery. If Err is nil, the queried workers that are missing
// from Permits may never run the step.
type Advice struct {
	Permits  []Permit
	Validity time.Duration // of the tickets; 0: unknown
	Err      error
}

// Advisor is the external service that decides which workers may run the steps of a queue that
// requires its permission.
type Advisor interface {
	Advise(ctx context.Context, q AdviceQuery) Advice
}

// Parameters of advisor queries.
const (
	// maxWorkersPerQuery limits a query, since the time that the advisor takes grows with the
	// number of workers.
	maxWorkersPerQuery = 30
	// maxOpenQueries limits the queries in flight: the advisor handles one at a time and
	// refuses queries beyond 32.
	maxOpenQueries = 8
	// ticketMargin is how long a ticket must still be valid when it is used, so that the start
	// reaches the worker in time.
	ticketMargin = 250 * time.Millisecond
	// adviceRetryDelay is the pause after a query that failed.
	adviceRetryDelay = 300 * time.Millisecond
	// AdviceTimeout is the timeout of a query. Others may be queued before it at the advisor, and
	// each takes up to 1 s.
	AdviceTimeout = 5 * time.Second
)

// permits holds the advice received for a step.
type permits struct {
	tickets   map[WorkerID]ticket
	denied    map[WorkerID]bool // workers that may never run the step
	queryOpen bool
	askedAt   time.Time
	retryAt   time.Time

	rejectedTickets int // consecutive tickets rejected by workers
}

type ticket struct {
	text       string
	validUntil time.Time
}

func (s *stepState) id() StepID { return StepID{s.job.spec.ID, s.occurrence, s.index} }

// needsPermits reports whether the step may run only on workers that the advisor permits.
func (s *stepState) needsPermits() bool { return s.job.queue.Advisor != nil }

// hasValidTicket reports whether the step has a ticket for the worker that is valid for
// longer than ticketMargin.
func (s *stepState) hasValidTicket(w *worker, now time.Time) bool {
	return s.permits != nil && now.Add(ticketMargin).Before(s.permits.tickets[w.Worker].validUntil)
}

// ticketFor returns the ticket for a start on the worker; "" if it needs none.
func (s *stepState) ticketFor(w *worker) string {
	if s.permits == nil {
		return ""
	}
	return s.permits.tickets[w.Worker].text
}

// queryAdvisor queries the advisor about workers without a ticket, those with the most free
// cores first.
func (c *Core) queryAdvisor(s *stepState, view *workerView, now time.Time) {
	if s.permits == nil {
		s.permits = &permits{tickets: map[WorkerID]ticket{}, denied: map[WorkerID]bool{}}
	}
	p := s.permits
	if p.queryOpen || now.Before(p.retryAt) || c.adviceInFlight >= maxOpenQueries {
		return
	}
	var list []*worker
	for _, w := range view.workers {
		if !p.denied[w.Worker] && !s.hasValidTicket(w, now) {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].free().CPUMilli > list[b].free().CPUMilli })
	q := AdviceQuery{Step: s.id()}
	for _, w := range list[:min(len(list), maxWorkersPerQuery)] {
		q.Workers = append(q.Workers, w.Worker)
	}
	p.queryOpen = true
	p.askedAt = now
	c.adviceInFlight++
	c.effects.AdviceQueries = append(c.effects.AdviceQueries, q)
}

// OnAdvice handles the advisor's answer. The validity of tickets is counted from the time of the
// query, since their time of issue is unknown.
func (c *Core) OnAdvice(q AdviceQuery, a Advice, now time.Time) {
	c.adviceInFlight--
	j := c.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil || s.permits == nil {
		return
	}
	p := s.permits
	p.queryOpen = false
	c.changedServices[j.service] = true
	c.pool(j.service).lastPassAt = time.Time{} // place immediately, as tickets expire soon
	if a.Err != nil {
		p.retryAt = now.Add(adviceRetryDelay)
		c.logDecision(Decision{Event: "advice-failed", Job: j.spec.ID, Reason: a.Err.Error()})
		return
	}
	validity := a.Validity
	if validity == 0 && j.queue.Advisor != nil {
		validity = j.queue.Advisor.TicketValidity
	}
	permitted := map[WorkerID]bool{}
	for _, permit := range a.Permits {
		permitted[permit.Worker] = true
		p.tickets[permit.Worker] = ticket{permit.Ticket, p.askedAt.Add(validity)}
	}
	for _, w := range q.Workers {
		if !permitted[w] {
			p.denied[w] = true
		}
	}
}

// dropTicket drops a ticket that a worker has rejected. After repeated rejections the next
// query is delayed.
func (s *stepState) dropTicket(w *worker, now time.Time) {
	p := s.permits
	if p == nil {
		return
	}
	delete(p.tickets, w.Worker)
	if p.rejectedTickets++; p.rejectedTickets > ticketRejectionsBeforeBackoff {
		p.retryAt = laterOf(p.retryAt, now.Add(ticketBackoff.delay(p.rejectedTickets-ticketRejectionsBeforeBackoff)))
	}
}
