package engine

import "time"

// backoff computes exponentially growing delays between retries. The zero value is ready to
// use.
type backoff struct{ attempts int }

// next returns the next delay: initial at first, doubled each time, at most limit.
func (b *backoff) next(initial, limit time.Duration) time.Duration {
	delay := initial
	for range b.attempts {
		if delay *= 2; delay >= limit {
			return limit
		}
	}
	b.attempts++
	return delay
}

func (b *backoff) reset() { b.attempts = 0 }
