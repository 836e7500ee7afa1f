package engine

import "time"

// backoff is how long to wait before something that did not work is repeated. The zero value
// has not begun.
type backoff struct{ attempts int }

// next returns the next pause: first, then twice as long each time, up to most.
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
