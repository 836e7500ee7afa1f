package routing

import "time"

const (
	// failureWeight is the weight of the newest answer in a failure rate.
	failureWeight = 1.0 / 16
	// failureExcess is how far a target's failure rate must lie above that of
	// all targets together before the target is ejected.
	failureExcess = 0.35
	// lossesToEject is the number of attempts in a row without an answer.
	lossesToEject = 3
)

// breaker decides when an endpoint is ejected and for how long. The owner holds
// the endpoint's mutex.
//
// A target that answers errors fast looks idle and would attract every request.
// Its failure rate is compared with that of all targets: a request that fails
// everywhere raises both and ejects nobody.
type breaker struct {
	failures  float64 // moving share of failed answers
	losses    int     // attempts in a row without an answer
	ejections int     // in a row, for the growth of the backoff
}

func (b *breaker) answered(failed bool) {
	b.losses = 0
	b.failures += failureWeight * (share(failed) - b.failures)
}

func (b *breaker) lost() bool {
	b.losses++
	return b.losses >= lossesToEject
}

func (b *breaker) failing(overall float64) bool {
	return b.failures-overall > failureExcess
}

// eject starts an ejection and returns its length, doubled each time in a row.
func (b *breaker) eject(base, limit time.Duration) time.Duration {
	d := min(base<<min(b.ejections, 20), limit)
	b.ejections++
	b.losses, b.failures = 0, 0
	return d
}

func share(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
