package routing

import "sync/atomic"

// ppm is the unit in which failure rates are summed.
const ppm = 1e6

// part is what one open endpoint adds to the sums.
type part struct {
	window   int64
	failures int64 // ppm
	open     int64
}

// sums are kept up to date so that a pick need not visit every endpoint.
type sums struct {
	window, failures, open atomic.Int64
}

func (s *sums) replace(old, now part) {
	add(&s.window, now.window-old.window)
	add(&s.failures, now.failures-old.failures)
	add(&s.open, now.open-old.open)
}

// add leaves the counter alone where nothing changed: it is shared by all cores.
func add(counter *atomic.Int64, delta int64) {
	if delta != 0 {
		counter.Add(delta)
	}
}
