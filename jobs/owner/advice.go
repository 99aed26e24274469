package owner

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// AdviceQuery asks the advisor which workers may run a step.
type AdviceQuery struct {
	Step    StepID
	Workers []WorkerID
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        job.ID
	Occurrence int
	Step       int
}

// String returns the step's name, JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Permit is the advisor's word that a worker may run a step.
type Permit struct {
	Worker WorkerID
	Ticket string
}

// Advice is the advisor's answer. A nil error means that workers that are not
// named may not run the step.
type Advice struct {
	Permits  []Permit
	Validity time.Duration // 0: not told
	Err      error
}

// Advisor says which workers may run the steps of some queues.
type Advisor interface {
	Advise(ctx context.Context, q AdviceQuery) Advice
}

// Figures of advice.
const (
	// maxWorkersPerQuery is how many workers one question names: the advisor's time
	// grows with each.
	maxWorkersPerQuery = 30
	// maxOpenQueries is how many may be under way: the advisor takes one at a time
	// and refuses beyond 32.
	maxOpenQueries = 8
	// ticketMargin of a ticket's validity is left for the start to arrive.
	ticketMargin = 250 * time.Millisecond
	// adviceRetryDelay is the pause after a question without an answer.
	adviceRetryDelay = 300 * time.Millisecond
	// AdviceTimeout bounds a question: some queued ones, each of a second at most.
	AdviceTimeout = 5 * time.Second
)

// permits is what is known of the workers that may run a step.
type permits struct {
	tickets   map[WorkerID]ticket
	denied    map[WorkerID]bool // may not run it, which does not change
	queryOpen bool
	askedAt   time.Time
	retryAt   time.Time

	rejectedTickets int // tickets that workers refused on end
}

type ticket struct {
	text       string
	validUntil time.Time
}

func (s *stepState) id() StepID { return StepID{s.job.spec.ID, s.occurrence, s.index} }

// needsPermits reports whether the step may only run where the advisor says.
func (s *stepState) needsPermits() bool { return s.job.queue.Advisor != nil }

// hasValidTicket reports whether the step has a valid ticket for the worker.
func (s *stepState) hasValidTicket(w *worker, now time.Time) bool {
	return s.permits != nil && now.Add(ticketMargin).Before(s.permits.tickets[w.Worker].validUntil)
}

// ticketFor returns the ticket of a start, "" if it needs none.
func (s *stepState) ticketFor(w *worker) string {
	if s.permits == nil {
		return ""
	}
	return s.permits.tickets[w.Worker].text
}

// queryAdvisor asks the advisor about usable workers, those with the most room first.
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

// OnAdvice takes the advisor's answer. Tickets count from the question on, as
// it is not known when they were written.
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
	c.pool(j.service).placedAt = time.Time{} // tickets last for a short time: place at once
	if a.Err != nil {
		p.retryAt = now.Add(adviceRetryDelay)
		c.note(Decision{Event: "advice-failed", Job: j.spec.ID, Reason: a.Err.Error()})
		return
	}
	validity := a.Validity
	if validity == 0 && j.queue.Advisor != nil {
		validity = j.queue.Advisor.TicketValidity
	}
	good := map[WorkerID]bool{}
	for _, permit := range a.Permits {
		good[permit.Worker] = true
		p.tickets[permit.Worker] = ticket{permit.Ticket, p.askedAt.Add(validity)}
	}
	for _, w := range q.Workers {
		if !good[w] {
			p.denied[w] = true
		}
	}
}

// dropTicket forgets a ticket that a worker refused.
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
