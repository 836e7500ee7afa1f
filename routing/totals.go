package routing

import "sync/atomic"

// ppm (parts per million) is the unit in which failure rates are summed.
const ppm = 1e6

// contribution is what one endpoint adds to the totals. It is zero for an endpoint
// that is ejected, draining or removed.
type contribution struct {
	window      int64
	failureRate int64 // ppm
	available   int64 // 0 or 1
}

// totals are sums over the available endpoints. They are updated with each outcome,
// so that Pick does not have to visit every endpoint.
type totals struct {
	window, failureRates, available atomic.Int64
}

func (t *totals) replace(old, current contribution) {
	add(&t.window, current.window-old.window)
	add(&t.failureRates, current.failureRate-old.failureRate)
	add(&t.available, current.available-old.available)
}

// add skips the write if nothing changed, to avoid contention on a cache line that
// all cores share.
func add(counter *atomic.Int64, delta int64) {
	if delta != 0 {
		counter.Add(delta)
	}
}
