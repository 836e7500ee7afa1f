package routing

import "time"

const (
	// failureWeight is the weight of the newest answer in a failure rate.
	failureWeight = 1.0 / 32
	// failureExcess is how far a target's failure rate must lie above the mean
	// of the open targets before the target is ejected: four standard
	// deviations of the rate, when half of all requests fail everywhere.
	failureExcess = 0.25
	// lossesToEject is the number of attempts in a row without an answer.
	lossesToEject = 3
	// answersToForget is the number of good answers in a row after which
	// earlier ejections no longer lengthen the next.
	answersToForget = 64
	// patience is how many usual latencies an attempt must have waited before
	// its timeout counts as a loss.
	patience = 2
)

// breaker decides when an endpoint is ejected and for how long. The owner holds
// the endpoint's mutex.
//
// A target that answers errors fast looks idle and would attract every request.
// Its failure rate is compared with the mean of the open targets: a request that
// fails everywhere raises both and ejects nobody.
type breaker struct {
	failures  float64 // moving share of failed answers
	losses    int     // attempts in a row without an answer
	good      int     // good answers in a row
	ejections int     // for the growth of the backoff
	ejectedAt int64   // start of the last ejection
	silent    bool    // ejected for silence, not for failed answers
}

func (b *breaker) answered(failed bool) {
	b.losses = 0
	if failed {
		b.good = 0
		b.failures += failureWeight * (1 - b.failures)
		return
	}
	b.failures -= failureWeight * b.failures
	b.good++
	if b.good >= answersToForget {
		b.ejections = 0
	}
}

func (b *breaker) lost() bool {
	b.losses++
	b.good = 0
	return b.losses >= lossesToEject
}

func (b *breaker) failing(mean float64) bool {
	return b.failures-mean > failureExcess
}

// eject starts an ejection and returns its length, doubled each time.
func (b *breaker) eject(now int64, base, limit time.Duration) time.Duration {
	d := min(base<<min(b.ejections, 20), limit)
	b.ejections++
	b.ejectedAt = now
	b.losses, b.good, b.failures = 0, 0, 0
	return d
}
