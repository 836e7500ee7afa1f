package admission

import "time"

// request is one request that is queued or runs.
type request struct {
	id             ID
	serviceTimeKey serviceTimeKey
	expectedTime   time.Duration // expected slot time
	weight         float64       // the account's when it started, for the later charge
	enqueued       time.Time
	startDeadline  time.Time // a start at this time or later comes too late; zero means never
	running        bool
	heapIndex      int // in the queue's order by latest
}

// tooLate reports whether a start now would come too tooLate.
func (r *request) tooLate(now time.Time) bool {
	return !r.startDeadline.IsZero() && !now.Before(r.startDeadline)
}
