package lease

import "time"

// Leadership is one holding of a duty. All orders given under it carry Epoch.
type Leadership struct {
	Epoch uint64
	// ValidUntil is when the lease could lapse at the earliest, on the holder's
	// clock: reckoned from before the last renewal was sent.
	ValidUntil time.Duration
}
