package lease

import "time"

// Leadership is one period in which a candidate is the leader. All orders given in it
// carry Epoch.
type Leadership struct {
	Epoch uint64
	// ValidUntil is the earliest time, on the candidate's clock, at which the lease
	// could expire. It is counted from before the last renewal was sent.
	ValidUntil time.Duration
}
