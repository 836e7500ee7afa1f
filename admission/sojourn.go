package admission

import "time"

// phase is the state of congestion of one account's queue.
type phase int

const (
	clear phase = iota
	early
	lasting
)

// sojourn watches how long requests of one account wait. It is in early
// congestion while waits exceed the target, and in lasting congestion once they
// have done so for an interval. Without a start for an interval it knows
// nothing, and says clear.
type sojourn struct {
	since time.Time // first wait above the target; zero while below
	last  time.Time // last start
}

func (s *sojourn) started(now time.Time, wait, target time.Duration) {
	s.last = now
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
	case s.since.IsZero() || now.Sub(s.last) > interval:
		return clear
	case now.Sub(s.since) < interval:
		return early
	}
	return lasting
}
