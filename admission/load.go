package admission

import "time"

// Load is what the agent reports with each reply.
type Load struct {
	Running, Queued, Slots int
	Marked                 bool // early congestion
	Shedding               bool // lasting congestion
	Draining               bool
	RetryAfter             time.Duration // until the present backlog is served
}
