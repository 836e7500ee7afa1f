package routing

import "time"

// Load is what an agent reports about its target with each reply.
type Load struct {
	Running, Queued, Slots int
	Marked                 bool // early congestion: cut the window gently
	Shedding               bool // lasting congestion: cut the window drastically
	Draining               bool // the target leaves and takes nothing new
	RetryAfter             time.Duration
}
