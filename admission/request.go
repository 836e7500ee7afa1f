package admission

import "time"

// request is one request that is queued or runs.
type request struct {
	id       ID
	key      costKey
	cost     time.Duration // expected slot time
	weight   float64       // the account's when it started, for the later charge
	enqueued time.Time
	latest   time.Time // a start at this time or later comes too late; zero means never
	running  bool
	index    int // in the queue's order by latest
}

// late reports whether a start now would come too late.
func (r *request) late(now time.Time) bool {
	return !r.latest.IsZero() && !now.Before(r.latest)
}
