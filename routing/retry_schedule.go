package routing

import (
	"sync/atomic"
	"time"
)

// retrySchedule spreads out the retries of a client account's refused requests:
// each gets the delay after which those refused before it will have been served,
// at the rate at which the account is served now. With the same delay for all,
// they would be retried at once and refused again.
type retrySchedule struct {
	expected       atomic.Int64 // refused requests that have not been retried
	answerInterval atomic.Int64 // moving average of the time between answers, nanoseconds
	lastAnswerAt   atomic.Int64 // Unix nanoseconds; 0 before the first answer
}

const (
	// answerIntervalWeight is the weight of the newest interval in the average.
	answerIntervalWeight = 1.0 / 16
	// maxAnswerInterval bounds one interval, since a long pause between requests
	// does not mean that the service is slow.
	maxAnswerInterval = int64(time.Second)
)

// recordAnswer updates the average interval between answers. Concurrent calls may
// lose an update, which the average tolerates.
func (r *retrySchedule) recordAnswer(now int64) {
	last := r.lastAnswerAt.Swap(now)
	if last == 0 || now < last {
		return
	}
	interval := min(now-last, maxAnswerInterval)
	average := r.answerInterval.Load()
	r.answerInterval.Store(average + int64(answerIntervalWeight*float64(interval-average)))
}

// next counts one more refused request and returns the delay after which it
// should be retried.
func (r *retrySchedule) next() time.Duration {
	interval := max(1, r.answerInterval.Load())
	maxExpected := int64(maxRetryAfter) / interval
	expected := r.expected.Load()
	if expected < maxExpected {
		expected = r.expected.Add(1)
	}
	wait := time.Duration(min(expected, maxExpected) * interval)
	return max(minRetryAfter, wait)
}

// recordAccepted removes one request from those expected to be retried, because
// an attempt of the account was accepted.
func (r *retrySchedule) recordAccepted() {
	if expected := r.expected.Load(); expected > 0 {
		r.expected.CompareAndSwap(expected, expected-1)
	}
}
