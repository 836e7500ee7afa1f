package admission

import "time"

// Load is the report that the agent sends with each reply.
type Load struct {
	Running, Queued, Slots int
	Marked                 bool // early congestion
	Shedding               bool // lasting congestion
	Draining               bool
	RetryAfter             time.Duration // expected time until the current backlog is served
}
