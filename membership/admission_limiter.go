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
func (p *admissionLimiter) admit(now time.Time) (bool, time.Duration) {
	if !p.last.IsZero() {
		passed := now.Sub(p.last).Seconds() * p.rate
		p.tokens = min(p.burst, p.tokens+passed)
		p.waiting = max(0, p.waiting-passed)
	}
	p.last = now
	if p.tokens >= 1 {
		p.tokens--
		return true, 0
	}
	p.waiting++
	return false, time.Duration(p.waiting / p.rate * float64(time.Second))
}
