package membership

import "time"

// admissionLimiter is a token bucket that also counts the senders it turned away, so
// that each is told to return after those before it.
type admissionLimiter struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	// waiting is the number of senders that were turned away and are not due to return
	// yet.
	waiting float64
	last    time.Time
}

// admit takes a token, or returns after what time to try again.
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
