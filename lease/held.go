package lease

import "time"

// Held is one holding of a duty. All orders given under it carry Epoch.
type Held struct {
	Epoch uint64
	// Until is when the lease could lapse at the earliest, on the holder's
	// clock: reckoned from before the last renewal was sent.
	Until time.Duration
}
