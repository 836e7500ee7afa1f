package routing

import "sync/atomic"

// ppm is the unit in which failure rates are summed.
const ppm = 1e6

// contribution is what one open endpoint adds to the sums.
type contribution struct {
	window      int64
	failureRate int64 // ppm
	available   int64
}

// totals are kept up to date so that a pick need not visit every endpoint.
type totals struct {
	window, failureRates, available atomic.Int64
}

func (t *totals) replace(old, current contribution) {
	add(&t.window, current.window-old.window)
	add(&t.failureRates, current.failureRate-old.failureRate)
	add(&t.available, current.available-old.available)
}

// add leaves the counter alone where nothing changed: it is shared by all cores.
func add(counter *atomic.Int64, delta int64) {
	if delta != 0 {
		counter.Add(delta)
	}
}
