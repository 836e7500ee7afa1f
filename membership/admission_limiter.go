package membership

import "time"

// admissionLimiter is a token bucket that also counts the rejected senders, so that each
// gets a later retry time than those before it.
type admissionLimiter struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	// waiting is the number of rejected senders whose retry time has not come yet.
	waiting float64
	last    time.Time
}

// admit takes a token, or returns the delay after which to try again.
func (l *admissionLimiter) admit(now time.Time) (bool, time.Duration) {
	if !l.last.IsZero() {
		passed := now.Sub(l.last).Seconds() * l.rate
		l.tokens = min(l.burst, l.tokens+passed)
		l.waiting = max(0, l.waiting-passed)
	}
	l.last = now
	if l.tokens >= 1 {
		l.tokens--
		return true, 0
	}
	l.waiting++
	return false, time.Duration(l.waiting / l.rate * float64(time.Second))
}
