package routing

import "time"

const (
	// failureRateWeight is the weight of the newest answer in a failure rate.
	failureRateWeight = 1.0 / 32
	// maxFailureExcess is how far a target's failure rate must lie above the mean
	// of the open targets before the target is ejected: four standard
	// deviations of the rate, when half of all requests fail everywhere.
	maxFailureExcess = 0.25
	// lossesToEject is the number of attempts in a row without an answer.
	lossesToEject = 3
	// successesToResetBackoff is the number of good answers in a row after which
	// earlier ejections no longer lengthen the next.
	successesToResetBackoff = 64
	// minTimeoutFactor is how many usual latencies an attempt must have waited before
	// its timeout counts as a loss.
	minTimeoutFactor = 2
)

// breaker decides when an endpoint is ejected and for how long. The owner holds
// the endpoint's mutex.
//
// A target that answers errors fast looks idle and would attract every request.
// Its failure rate is compared with the mean of the open targets: a request that
// fails everywhere raises both and ejects nobody.
type breaker struct {
	failureRate          float64 // moving share of failed answers
	consecutiveLosses    int     // attempts in a row without an answer
	consecutiveSuccesses int     // good answers in a row
	ejections            int     // for the growth of the backoff
	ejectedAt            int64   // start of the last ejection
	unresponsive         bool    // ejected for silence, not for failed answers
}

func (b *breaker) recordAnswer(failed bool) {
	b.consecutiveLosses = 0
	if failed {
		b.consecutiveSuccesses = 0
		b.failureRate += failureRateWeight * (1 - b.failureRate)
		return
	}
	b.failureRate -= failureRateWeight * b.failureRate
	b.consecutiveSuccesses++
	if b.consecutiveSuccesses >= successesToResetBackoff {
		b.ejections = 0
	}
}

func (b *breaker) recordLoss() bool {
	b.consecutiveLosses++
	b.consecutiveSuccesses = 0
	return b.consecutiveLosses >= lossesToEject
}

func (b *breaker) isOutlier(meanFailureRate float64) bool {
	return b.failureRate-meanFailureRate > maxFailureExcess
}

// eject starts an ejection and returns its length, doubled each time.
func (b *breaker) eject(now int64, baseDuration, maxDuration time.Duration) time.Duration {
	d := min(baseDuration<<min(b.ejections, 20), maxDuration)
	b.ejections++
	b.ejectedAt = now
	b.consecutiveLosses, b.consecutiveSuccesses, b.failureRate = 0, 0, 0
	return d
}
