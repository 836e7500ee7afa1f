package admission

import "time"

// phase is the state of congestion of one account's queue.
type phase int

const (
	clear phase = iota
	early
	lasting
)

// sojourn watches how long requests wait. It is in early congestion while waits
// exceed the target, and in lasting congestion once they have done so for an
// interval.
type sojourn struct {
	wait  time.Duration // of the last request that started
	since time.Time     // first wait above the target; zero while below
}

func (s *sojourn) started(now time.Time, wait, target time.Duration) {
	s.wait = wait
	if wait < target {
		s.since = time.Time{}
		return
	}
	if s.since.IsZero() {
		s.since = now
	}
}

func (s *sojourn) phase(now time.Time, interval time.Duration) phase {
	switch {
	case s.since.IsZero():
		return clear
	case now.Sub(s.since) < interval:
		return early
	}
	return lasting
}
