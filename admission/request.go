package admission

import "time"

// request is a request that is queued or running.
type request struct {
	id             ID
	serviceTimeKey serviceTimeKey
	expectedTime   time.Duration // estimated slot time when it arrived
	weight         float64       // the account's weight when the request started
	enqueued       time.Time
	startDeadline  time.Time // a start at this time or later is too late; zero means none
	running        bool
	heapIndex      int // in Queue.byStartDeadline
}

// tooLate reports whether a start now would miss the deadline.
func (r *request) tooLate(now time.Time) bool {
	return !r.startDeadline.IsZero() && !now.Before(r.startDeadline)
}
