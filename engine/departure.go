package engine

import (
	"fmt"
	"time"
)

// Departure is how an incarnation of a worker ended.
type Departure string

// The ways in which an incarnation ends.
const (
	DepartureLeft    Departure = "left"    // it announced its departure or was draining
	DepartureCrashed Departure = "crashed" // ended without notice; all its runs are lost
)

// WorkerGone reports that an incarnation of a worker has ended. Runs is the number of runs that
// were lost with it.
type WorkerGone struct {
	Worker    WorkerInfo
	Departure Departure
	Runs      int
	// Report is the report that showed the end.
	Report ReportRef
}

func (WorkerGone) isAction() {}

// departure returns how the reported incarnation ended.
func (r *Report) departure() Departure {
	if r.Crashed {
		return DepartureCrashed
	}
	return DepartureLeft
}

// departureOfReplaced returns how an incarnation ended that was replaced by another one without
// a report of its end. A restarted agent does not know how it ended.
func (e *Engine) departureOfReplaced(id WorkerID) Departure {
	if w := e.workers[id]; w != nil && w.draining {
		return DepartureLeft
	}
	return DepartureCrashed
}

// observedRunTime describes for logs how long a run was known to be running.
func (p *placement) observedRunTime() string {
	switch {
	case p.lastSeenAt == 0:
		return "never observed as running"
	case p.adopted:
		return fmt.Sprintf("started by a previous planner, observed as running for %v", (p.lastSeenAt - p.startedAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("last observed as running %v after its start", (p.lastSeenAt - p.startedAt).Round(time.Millisecond))
}
