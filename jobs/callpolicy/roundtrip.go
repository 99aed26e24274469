package callpolicy

import (
	"math"
	"time"
)

// Parameters of the estimate of a round trip, by RFC 6298.
const (
	rttGain        = 1.0 / 8 // weight of a new sample in the mean
	rttVarGain     = 1.0 / 4 // weight of a new sample in the mean deviation
	rttVarFactor   = 4       // deviations that the timeout adds to the mean
	maxRTTBackoffs = 3       // doublings of the timeout of a worker that does not answer
)

// Parameters of the loss rate of one worker.
const (
	// workerLossDecay is the weight of the previous loss rate of a worker: about the last 20 calls count.
	workerLossDecay = 0.95
	// fleetLossDecay is the same for all workers together: about the last 2000 calls. Calls that are
	// sent together time out together, so that the rate over a few calls swings between 0 and 1.
	fleetLossDecay = 0.9995
	// A worker loses more calls than the others from minWorkerLoss on, if its loss rate is also
	// workerLossFactor times that of all workers. At a common loss rate of 40% the rate of single
	// workers deviates by 0.11.
	minWorkerLoss    = 0.5
	workerLossFactor = 2
)

// WorkerCalls estimates the round trip of calls to one worker, or to all workers, and the share
// of calls that are lost. Its zero value is ready for use.
type WorkerCalls struct {
	AllWorkers   bool          // the calls are to all workers
	srtt, rttVar time.Duration // smoothed round trip and its mean deviation
	known        bool          // a round trip was measured
	backoffs     int           // unanswered calls in a row, with no answer since they were sent
	lossRate     float64       // moving average, 0 to 1
}

// RecordRoundTrip records the round trip of an answered call; 0 is ignored. An answer belongs to a
// certain call also if that call is a repeat, so repeats may be recorded (Karn's rule is for
// protocols in which this is not known).
func (w *WorkerCalls) RecordRoundTrip(rtt time.Duration) {
	switch {
	case rtt <= 0:
		return
	case !w.known:
		w.known, w.srtt, w.rttVar = true, rtt, rtt/2
		return
	}
	deviation := (rtt - w.srtt).Abs()
	w.rttVar += time.Duration(rttVarGain * float64(deviation-w.rttVar))
	w.srtt += time.Duration(rttGain * float64(rtt-w.srtt))
}

// RecordAnswer records that a call was answered, which ends the backoff.
func (w *WorkerCalls) RecordAnswer() {
	w.backoffs = 0
	w.lossRate *= w.lossDecay()
}

// RecordLoss records an unanswered call. answeredSince reports whether the worker has answered
// another call since: then it answers, and its timeout is not extended.
func (w *WorkerCalls) RecordLoss(answeredSince bool) {
	w.lossRate = w.lossDecay()*w.lossRate + 1 - w.lossDecay()
	if !answeredSince {
		w.backoffs = min(maxRTTBackoffs, w.backoffs+1)
	}
}

// lossDecay returns the weight of the previous loss rate.
func (w *WorkerCalls) lossDecay() float64 {
	if w.AllWorkers {
		return fleetLossDecay
	}
	return workerLossDecay
}

// Known reports whether a round trip was measured.
func (w *WorkerCalls) Known() bool { return w.known }

// Timeout returns the retransmission timeout, within the bounds.
func (w *WorkerCalls) Timeout(least, most time.Duration) time.Duration {
	return min(most, max(least, w.srtt+rttVarFactor*w.rttVar)<<max(0, w.backoffs-1))
}

// WithoutBackoff returns the estimate without the backoff.
func (w *WorkerCalls) WithoutBackoff() WorkerCalls {
	out := *w
	out.backoffs = 0
	return out
}

// LosesMoreThan reports whether the worker loses many more calls than all workers do on average.
func (w *WorkerCalls) LosesMoreThan(all *WorkerCalls) bool {
	return w.lossRate >= minWorkerLoss && w.lossRate >= workerLossFactor*all.lossRate
}

// FastAnswers records when calls were sent that were answered fast. As links and CPUs serve in
// order, a call that was sent later and answered fast shows that an unanswered one does not wait
// in the owner's own queue: it, or its answer, was lost. Its zero value is ready for use.
type FastAnswers struct {
	sentAt [fastAnswerSlots]time.Time // latest of each slot
}

// A slot covers fastAnswerSlot; together they cover the longest timeout.
const (
	fastAnswerSlot  = 10 * time.Millisecond
	fastAnswerSlots = 128
)

// Record records that a call sent at a time was answered fast.
func (f *FastAnswers) Record(sentAt time.Time) {
	f.sentAt[slotOf(sentAt)] = sentAt
}

// Between reports whether a call sent after from, and up to the time to, was answered fast.
func (f *FastAnswers) Between(from, to time.Time) bool {
	for _, at := range f.sentAt {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

func slotOf(t time.Time) uint64 {
	return uint64(t.UnixNano()) / uint64(fastAnswerSlot) % fastAnswerSlots
}

// Parameters of the repeat budget.
const (
	// repeatShare is the share of first sends that may be repeated. A loss rate of 40% needs two
	// repeats for each three first sends.
	repeatShare = 1.0
	// congestedRepeatShare is the same while answers are slow, where repeats add to the queue.
	congestedRepeatShare = 0.1
	// minRepeats may be repeated within repeatPeriod in any case.
	minRepeats = 24
	// repeatPeriod is the mean age of the sends that count. Repeats follow up to 400 ms after the
	// first sends, often many at a time.
	repeatPeriod = time.Second
)

// RepeatBudget limits repeats to a share of the recent first sends, so that repeats never fill a
// link. Its zero value is ready for use.
type RepeatBudget struct {
	first, repeats float64 // sends, with weights that decay over repeatPeriod
	at             time.Time
}

// RecordFirstSend records a call that is sent for the first time.
func (b *RepeatBudget) RecordFirstSend(now time.Time) {
	b.decay(now)
	b.first++
}

// Take takes a repeat from the budget and reports whether one was left. congested reports whether
// answers are slow.
func (b *RepeatBudget) Take(congested bool, now time.Time) bool {
	b.decay(now)
	share := repeatShare
	if congested {
		share = congestedRepeatShare
	}
	if b.repeats+1 > minRepeats+share*b.first {
		return false
	}
	b.repeats++
	return true
}

func (b *RepeatBudget) decay(now time.Time) {
	if age := now.Sub(b.at); age > 0 {
		weight := math.Exp(-age.Seconds() / repeatPeriod.Seconds())
		b.first *= weight
		b.repeats *= weight
		b.at = now
	}
}
