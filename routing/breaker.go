package routing

import "time"

const (
	// failureRateWeight is the weight of the newest answer in the failure rate.
	failureRateWeight = 1.0 / 32
	// maxFailureExcess is how far a target's failure rate may exceed the mean rate
	// of the available targets before the target is ejected. It is four standard
	// deviations of the rate if half of all requests fail at every target.
	maxFailureExcess = 0.25
	// lossesToEject is the number of consecutive attempts without an answer after
	// which a target is ejected.
	lossesToEject = 3
	// successesToResetBackoff is the number of consecutive successful answers
	// after which the next ejection is as short as the first.
	successesToResetBackoff = 64
	// minTimeoutFactor is how many times the expected latency an attempt must have
	// waited for its timeout to count as a loss.
	minTimeoutFactor = 2
)

// breaker decides when an endpoint is ejected and for how long. It is guarded by
// the endpoint's mutex.
//
// A target that quickly answers with errors looks idle and would attract every
// request. Its failure rate is compared with the mean of the available targets,
// since requests that fail everywhere say nothing about one target.
type breaker struct {
	failureRate          float64 // moving average of the share of failed answers
	consecutiveLosses    int     // attempts without an answer
	consecutiveSuccesses int
	ejections            int   // since the last reset; determines the backoff
	ejectedAt            int64 // start of the last ejection, Unix nanoseconds
	unresponsive         bool  // its connection failed or a probe got no answer
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

// recordLoss counts an attempt without an answer and reports whether the endpoint
// is to be ejected.
func (b *breaker) recordLoss() bool {
	b.consecutiveLosses++
	b.consecutiveSuccesses = 0
	return b.consecutiveLosses >= lossesToEject
}

// isOutlier reports whether the failure rate is too far above the mean.
func (b *breaker) isOutlier(meanFailureRate float64) bool {
	return b.failureRate-meanFailureRate > maxFailureExcess
}

// eject starts an ejection and returns its duration, which doubles with each
// ejection up to maxDuration.
func (b *breaker) eject(now int64, baseDuration, maxDuration time.Duration) time.Duration {
	d := min(baseDuration<<min(b.ejections, 20), maxDuration)
	b.ejections++
	b.ejectedAt = now
	b.consecutiveLosses, b.consecutiveSuccesses, b.failureRate = 0, 0, 0
	return d
}
