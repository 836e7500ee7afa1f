package routing

import "time"

// Load is what an agent reports about its target with each reply.
type Load struct {
	Running, Queued, Slots int
	Marked                 bool // early congestion: reduce the window gradually
	Shedding               bool // lasting congestion: halve the window
	Draining               bool // the target is leaving and accepts no new requests
	RetryAfter             time.Duration
}
