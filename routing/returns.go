package routing

import (
	"sync/atomic"
	"time"
)

// returns spaces the refused requests of a client account. Each is told to come
// back when its place in the line would be served. With one fixed time for all,
// they would ask again together, be refused together, and give up.
type returns struct {
	owed   atomic.Int64 // refused requests expected back
	gap    atomic.Int64 // moving average between answers, nanoseconds
	lastAt atomic.Int64 // of the last answer
}

const (
	// gapWeight is the weight of the newest gap between answers.
	gapWeight = 1.0 / 16
	// maxGap bounds one gap: an idle hour is not a slow service.
	maxGap = int64(time.Second)
)

// served counts one answer. Concurrent calls may lose an update; the average
// stays near.
func (r *returns) served(now int64) {
	last := r.lastAt.Swap(now)
	if last == 0 || now < last {
		return
	}
	gap := min(now-last, maxGap)
	old := r.gap.Load()
	r.gap.Store(old + int64(gapWeight*float64(gap-old)))
}

// add gives a refused request its place among those to come back, and returns
// when that place is due at the rate at which the account is served now.
func (r *returns) add() time.Duration {
	gap := max(1, r.gap.Load())
	most := int64(maxRetryAfter) / gap
	owed := r.owed.Load()
	if owed < most {
		owed = r.owed.Add(1)
	}
	wait := time.Duration(min(owed, most) * gap)
	return max(minRetryAfter, wait)
}

// repay counts an accepted first attempt against those expected back.
func (r *returns) repay() {
	if owed := r.owed.Load(); owed > 0 {
		r.owed.CompareAndSwap(owed, owed-1)
	}
}
