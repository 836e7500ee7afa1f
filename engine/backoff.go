package engine

import "time"

// backoff is how long to wait before something that did not work is repeated. The zero value
// has not begun.
type backoff struct{ attempts int }

// next returns the next pause: first, then twice as long each time, up to most.
func (b *backoff) next(first, most time.Duration) time.Duration {
	pause := first
	for range b.attempts {
		if pause *= 2; pause >= most {
			return most
		}
	}
	b.attempts++
	return pause
}

func (b *backoff) reset() { b.attempts = 0 }
