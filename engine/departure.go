package engine

import (
	"fmt"
	"time"
)

// Departure is how a life of a worker ended.
type Departure string

// Departures.
const (
	DepartureLeft    Departure = "left"    // it said goodbye, or was about to
	DepartureCrashed Departure = "crashed" // without notice, with all that ran there
)

// WorkerGone: a life of a worker is over. Runs is how many it took with it.
type WorkerGone struct {
	Worker    WorkerInfo
	Departure Departure
	Runs      int
}

func (WorkerGone) isAction() {}

// departure is how the life that the report is of has ended.
func (r *Report) departure() Departure {
	if r.Crashed {
		return DepartureCrashed
	}
	return DepartureLeft
}

// departureOfReplaced is how a life has ended in whose place another one reports. Its agent does not
// know if it was started again meanwhile.
func (e *Engine) departureOfReplaced(id WorkerID) Departure {
	if w := e.workers[id]; w != nil && w.draining {
		return DepartureLeft
	}
	return DepartureCrashed
}

// observedRunTime says, for the log, how long a run was known to be at work.
func (p *placement) observedRunTime() string {
	switch {
	case p.shownAt == 0:
		return "no look has shown this run"
	case p.adopted:
		return fmt.Sprintf("a predecessor's run, shown for %v", (p.shownAt - p.began).Round(time.Millisecond))
	}
	return fmt.Sprintf("shown until %v after its start", (p.shownAt - p.began).Round(time.Millisecond))
}
