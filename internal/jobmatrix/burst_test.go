package jobmatrix

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// processor is that of a daemon: calls use it one after the other.
type processor struct{ slot chan struct{} }

func newProcessor() *processor { return &processor{make(chan struct{}, 1)} }

func (p *processor) use(d time.Duration) {
	p.slot <- struct{}{}
	time.Sleep(d)
	<-p.slot
}

// busyWorkers is a way to workers that takes processor time of the daemon for each call,
// also for one that is given up meanwhile: half before and half after the answer.
type cpuLimitedWorkers struct {
	owner.WorkerClient
	processor *processor
	cost      time.Duration
}

func chargeCall[A any](b cpuLimitedWorkers, ctx context.Context, late A, call func() A) A {
	b.processor.use(b.cost / 2)
	if ctx.Err() != nil {
		return late
	}
	a := call()
	b.processor.use(b.cost / 2)
	if ctx.Err() != nil {
		return late
	}
	return a
}

var timeoutAnswer = owner.Answer{Outcome: owner.Unanswered, Err: context.DeadlineExceeded}

func (b cpuLimitedWorkers) Start(ctx context.Context, o owner.Start) owner.Answer {
	return chargeCall(b, ctx, timeoutAnswer, func() owner.Answer { return b.WorkerClient.Start(ctx, o) })
}

func (b cpuLimitedWorkers) Stop(ctx context.Context, o owner.Stop) owner.Answer {
	return chargeCall(b, ctx, timeoutAnswer, func() owner.Answer { return b.WorkerClient.Stop(ctx, o) })
}

func (b cpuLimitedWorkers) Hold(ctx context.Context, o owner.Hold) owner.HoldAnswer {
	return chargeCall(b, ctx, owner.HoldAnswer{Answer: timeoutAnswer}, func() owner.HoldAnswer { return b.WorkerClient.Hold(ctx, o) })
}

// What a call to a worker costs, measured at 0.8 and at 0.19 of a core.
const (
	strongCallCost = 300 * time.Microsecond
	weakCallCost   = 1300 * time.Microsecond
)

// playBusy plays a day of daemons that are short of processor time.
func simulateCPULimited(t *testing.T, instances int, call time.Duration, f func(in *jobfleet.Installation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		in := jobfleet.NewInstallation(ctx, zap.NewNop())
		in.WrapWorkers = func(w owner.WorkerClient) owner.WorkerClient { return cpuLimitedWorkers{w, newProcessor(), call} }
		for i := range instances {
			in.Fleet.Add(owner.InstanceID(fmt.Sprintf("i%d", i)), "orders", "r1", job.Resources{CPUMilli: 32000, MemMB: 64000})
		}
		in.Configure(catalog(1))
		f(in)
		cancel()
		for _, d := range in.Daemons() {
			in.Kill(d.Name)
		}
		time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
	})
}

// submitBurst submits jobs of which all tasks become ready at the same moment, in 2 s.
func submitBurst(t *testing.T, in *jobfleet.Installation, jobs, width int) {
	due := time.Now().Add(2 * time.Second)
	caller := in.Caller()
	for n := range jobs {
		j := batchJob(n)
		j.Steps = j.Steps[:1]
		j.Steps[0].Count, j.Steps[0].Estimate = width, 2*time.Second
		j.Repeat, j.StartAt = 1, due
		accepted, _ := caller.Submit(ordersPrefix, j)
		require.True(t, accepted)
	}
}

// What was seen: of 1,144 starts that an owner sent in its first five seconds 293 went
// unanswered, though their workers had taken them; the tasks were stopped and started anew
// elsewhere. How it came about: all tasks that find room are started at the same moment,
// each call has 400 ms, and the calls' turns at the owner's processor come out of that.
// What proved it: a call costs 0.3 ms at 0.8 of a core; in another play 488 starts went
// unanswered, all by their deadline and in a few moments, and this test.
//
// TestABurstOfStartsIsNotGivenUp lets 4,800 tasks become ready at the same moment.
func TestABurstOfStartsIsNotGivenUp(t *testing.T) {
	const instances, jobs, width = 240, 200, 24
	simulateCPULimited(t, instances, strongCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		require.NotNil(t, in.Owner())
		submitBurst(t, in, jobs, width)
		time.Sleep(10 * time.Second)
		assert.Equal(t, jobs*width, in.Checker.Starts(), "starts, one a task")
		assert.Empty(t, in.Checker.Violations())
	})
}

// TestAWeakOwnerKeepsLeases: a daemon with a fifth of a core takes over 350 workers from
// one that stops as planned. It cannot call them all within one call's timeout. A guard:
// it has not been seen to fail, as half of the first calls get through in any case.
func TestAWeakOwnerKeepsLeases(t *testing.T) {
	const instances, jobs, width = 350, 10, 24
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		caller := in.Caller()
		for n := range jobs {
			j := longRunningJob(n)
			j.Steps[0].Count = width
			accepted, _ := caller.Submit(ordersPrefix, j)
			require.True(t, accepted)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, jobs*width, in.Checker.Starts())
		in.Start("d2")
		time.Sleep(3 * time.Second)
		in.Stop("d1")
		time.Sleep(10 * time.Second)
		require.Equal(t, "d2", in.Owner().Name)
		assert.Equal(t, jobs*width, in.Checker.Starts(), "none ended and was started anew")
		assert.Empty(t, in.Checker.Violations())
	})
}
