package admission

import "time"

// request is one request that is queued or runs.
type request struct {
	id       ID
	key      costKey
	cost     time.Duration // expected slot time
	weight   float64       // the account's when it started, for the later charge
	enqueued time.Time
	deadline time.Time
	running  bool
	index    int // in the queue's order of hopelessness
}

// hopeless returns when the request can no longer be answered in time: it would
// have to start before.
func (r *request) hopeless() time.Time { return r.deadline.Add(-r.cost) }

// late reports whether a start now would come too late.
func (r *request) late(now time.Time) bool {
	return !r.deadline.IsZero() && !now.Before(r.hopeless())
}
