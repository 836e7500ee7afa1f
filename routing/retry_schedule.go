package routing

import (
	"sync/atomic"
	"time"
)

// retrySchedule spaces the refused requests of a client account. Each is told to come
// back when its place in the line would be served. With one fixed time for all,
// they would ask again together, be refused together, and give up.
type retrySchedule struct {
	expected       atomic.Int64 // refused requests expected back
	answerInterval atomic.Int64 // moving average between answers, nanoseconds
	lastAnswerAt   atomic.Int64 // of the last answer
}

const (
	// answerIntervalWeight is the weight of the newest gap between answers.
	answerIntervalWeight = 1.0 / 16
	// maxAnswerInterval bounds one gap: an idle hour is not a slow service.
	maxAnswerInterval = int64(time.Second)
)

// recordAnswer counts one answer. Concurrent calls may lose an update; the average
// stays near.
func (r *retrySchedule) recordAnswer(now int64) {
	last := r.lastAnswerAt.Swap(now)
	if last == 0 || now < last {
		return
	}
	interval := min(now-last, maxAnswerInterval)
	average := r.answerInterval.Load()
	r.answerInterval.Store(average + int64(answerIntervalWeight*float64(interval-average)))
}

// next gives a refused request its place among those to come back, and returns
// when that place is due at the rate at which the account is served now.
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

// recordAccepted counts an accepted first attempt against those expected back.
func (r *retrySchedule) recordAccepted() {
	if expected := r.expected.Load(); expected > 0 {
		r.expected.CompareAndSwap(expected, expected-1)
	}
}
