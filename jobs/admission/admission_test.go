package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWaitFor(t *testing.T) {
	const sec = time.Second
	for _, c := range []struct {
		name string
		s    Supply
		work float64
		want time.Duration
	}{
		{"nothing ahead", Supply{Cores: 10, MeanTask: sec}, 0, 0},
		{"a busy pool starts its cores' work each second", Supply{Cores: 10, MeanTask: sec}, 18, 2 * sec},
		{"free cores start half a mean task more", Supply{Cores: 10, FreeCores: 10, MeanTask: sec}, 4.5, 0},
		{"an arriving instance counts from its arrival", Supply{Cores: 10, Arrivals: []Arrival{{In: sec, Cores: 10}}}, 27, 2 * sec},
		{"the wait ends before it arrives", Supply{Cores: 10, Arrivals: []Arrival{{In: 3 * sec, Cores: 10}}}, 18, 2 * sec},
		{"an empty pool waits for its first instance", Supply{MeanTask: sec, Arrivals: []Arrival{{In: 2 * sec, Cores: 10}}}, 4, 2 * sec},
		{"no supply", Supply{MeanTask: sec}, 1, maxWait},
	} {
		assert.InDelta(t, c.want.Seconds(), c.s.WaitFor(c.work).Seconds(), 0.01, c.name)
	}
}

// busyPool returns a controller of a pool with 100 busy cores, for which a time's worth of work waits.
func busyPool(backlog time.Duration) *Controller {
	c := &Controller{}
	c.Update(Supply{Cores: 100, MeanTask: time.Second}, backlogOf(backlog), start)
	return c
}

func backlogOf(d time.Duration) Queue {
	return NewQueue([]Waiting{{Rank: Rank{Work: 10}, Work: usableShare * 100 * d.Seconds()}})
}

func newJob(n int, slack time.Duration) Job {
	return Job{ID: fmt.Sprintf("%016x", n), Rank: Rank{Work: 20}, Work: 20, Cores: 20, Slack: slack}
}

// TestCongestion: short waits refuse nobody; once congested, a pool stays so until the backlog is
// short.
func TestCongestion(t *testing.T) {
	c := &Controller{}
	for _, step := range []struct {
		backlog   time.Duration
		congested bool
	}{{2 * time.Second, false}, {4 * time.Second, true}, {time.Second, true}, {400 * time.Millisecond, false}, {2 * time.Second, false}} {
		c.Update(Supply{Cores: 100}, backlogOf(step.backlog), start)
		assert.Equal(t, step.congested, c.IsCongested(), step.backlog)
		assert.Equal(t, step.congested, c.Decide(newJob(1, 0), start).Reason == PoolFull, step.backlog)
	}
	overloaded := Supply{Cores: 100, ArrivalRate: 200}
	c.Update(overloaded, backlogOf(1100*time.Millisecond), start)
	assert.False(t, c.IsCongested(), "instances may be ordered at any moment")
	c.Update(overloaded, backlogOf(1100*time.Millisecond), start.Add(overloadedFor))
	assert.True(t, c.IsCongested(), "twice as much arrives as the pool can start")
	c.Reset()
	assert.Zero(t, c.Decide(newJob(1, 0), start))
	assert.Zero(t, (&Controller{}).Decide(newJob(1, 0), start), "without a snapshot")
}

func TestOnlyLateJobsAreRefused(t *testing.T) {
	c := busyPool(4 * time.Second)
	assert.Zero(t, c.Decide(newJob(1, 4100*time.Millisecond), start), "it can wait long enough")
	d := c.Decide(newJob(2, time.Second), start)
	assert.Equal(t, PoolFull, d.Reason)
	assert.InDelta(t, 4.2, d.StartIn.Seconds(), 0.3, "the job accepted before is ahead")
	assert.Equal(t, d.StartIn-time.Second, d.LateBy)
	assert.GreaterOrEqual(t, d.RetryAfter, d.LateBy)
	urgent := newJob(3, time.Second)
	urgent.Rank.Work = 5
	assert.Zero(t, c.Decide(urgent, start), "it is placed before the backlog")
	assert.Zero(t, c.Decide(newJob(4, time.Second), start.Add(4*time.Second)), "time has passed since the snapshot")
}

// TestOneTenantAtTenTimesItsShareIsRefusedFirst: jobs above their tenant's share are in a later
// band, behind the backlog of the same size that jobs within theirs are placed before.
func TestOneTenantAtTenTimesItsShareIsRefusedFirst(t *testing.T) {
	const within, above = 1, 2
	c := &Controller{}
	c.Update(Supply{Cores: 100}, NewQueue([]Waiting{{Rank: Rank{Band: within, Work: 10}, Work: 45}, {Rank: Rank{Band: above, Work: 10}, Work: 450}}), start)
	refused := map[int]int{}
	for n := range 40 {
		band := within + n%2
		j := newJob(n, 2*time.Second)
		j.Rank.Band, j.Work = band, 1
		if c.Decide(j, start).Reason != NotRefused {
			refused[band]++
		}
	}
	assert.Zero(t, refused[within])
	assert.Equal(t, 20, refused[above])
}

// TestReturnsAreSpread: jobs refused at the same time do not return as a second peak. In no second
// more work returns than the pool can start, but for the share by which equal times are spread.
func TestReturnsAreSpread(t *testing.T) {
	c := busyPool(4 * time.Second)
	returns := map[int]float64{}
	for n := range 20 {
		d := c.Decide(newJob(n, time.Second), start)
		require.Equal(t, PoolFull, d.Reason)
		returns[int(d.RetryAfter.Seconds())] += 20
	}
	for second, work := range returns {
		assert.LessOrEqual(t, work, 1.25*usableShare*100+20, "second %d", second)
	}
	assert.GreaterOrEqual(t, len(returns), 4)
	for n := 20; n < 400; n++ {
		assert.LessOrEqual(t, c.Decide(newJob(n, time.Second), start).RetryAfter, time.Duration((1+maxSpread)*float64(maxRetryAfter)))
	}
	assert.NotEqual(t, spread("a", time.Second), spread("b", time.Second))
	assert.Equal(t, spread("a", time.Second), spread("a", time.Second))
}

// TestNeedlessRefusals: a refused job for which there was room in time counts, unless it was
// accepted since.
func TestNeedlessRefusals(t *testing.T) {
	c := busyPool(4 * time.Second)
	for n := range 4 {
		require.Equal(t, PoolFull, c.Decide(newJob(n, time.Second), start).Reason)
	}
	assert.Zero(t, c.CountNeedless(Supply{FreeCores: 10}, 1, start.Add(100*time.Millisecond)), "too little room")
	assert.EqualValues(t, 2, c.CountNeedless(Supply{FreeCores: 50}, 1, start.Add(200*time.Millisecond)), "room for two of them")
	assert.Zero(t, c.CountNeedless(Supply{FreeCores: 100}, 1, start.Add(2*time.Second)), "too late for the others")
	assert.True(t, c.HasRefusals())
	c.Update(Supply{Cores: 100}, Queue{}, start.Add(refusalRetention+time.Second))
	assert.False(t, c.HasRefusals())

	c = busyPool(4 * time.Second)
	c.Decide(newJob(1, time.Second), start)
	assert.Zero(t, c.Decide(newJob(1, 4*time.Second), start), "it returns and is accepted")
	assert.True(t, c.WasRefused(newJob(1, 0).ID))
	assert.Zero(t, c.CountNeedless(Supply{FreeCores: 100}, 1, start))
}

// TestNeedlessRefusalsWhileLateWorkWaits: the cores on which tasks end before the latest start of a
// refused job would have been its own, as late work is placed after it.
func TestNeedlessRefusalsWhileLateWorkWaits(t *testing.T) {
	c := busyPool(4 * time.Second)
	for n := range 4 {
		require.Equal(t, PoolFull, c.Decide(newJob(n, time.Second), start).Reason)
	}
	busy := Supply{Cores: 100, MeanTask: 2 * time.Second}
	assert.Zero(t, c.CountNeedless(busy, 0, start), "work of their own band waits")
	assert.EqualValues(t, 2, c.CountNeedless(busy, 1, start), "tasks end on 45 cores within a second")
	assert.Zero(t, c.CountNeedless(busy, 1, start.Add(900*time.Millisecond)), "on too few cores in the time left")
}

func TestFirstAttemptIsRemembered(t *testing.T) {
	c := busyPool(4 * time.Second)
	j := newJob(1, time.Second)
	assert.Equal(t, start, c.FirstAttempt(j.ID, start))
	c.Decide(j, start)
	c.Decide(j, start.Add(time.Second))
	assert.Equal(t, start, c.FirstAttempt(j.ID, start.Add(2*time.Second)))
}

func TestHint(t *testing.T) {
	fits := &job.Job{Service: "s", Steps: []job.Step{{Need: job.Resources{CPUMilli: 4000}}}}
	tooLarge := &job.Job{Service: "s", Steps: []job.Step{{Need: job.Resources{CPUMilli: 9000}}}}
	largest := job.Resources{CPUMilli: 8000, MemMB: 1}
	for _, c := range []struct {
		h              Hint
		fits, tooLarge bool
	}{
		{Hint{}, false, false},
		{Hint{Largest: largest}, false, true},
		{Hint{Congested: []string{"other"}}, false, false},
		{Hint{Congested: []string{"s"}}, true, true},
		{Hint{OrdersWait: true}, true, true},
	} {
		assert.Equal(t, c.fits, c.h.MustAsk(fits), "%+v", c.h)
		assert.Equal(t, c.tooLarge, c.h.MustAsk(tooLarge), "%+v", c.h)
	}
}
