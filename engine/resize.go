package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// resize updates the capacity of a worker to what it reports. Present runs continue even if
// they exceed it.
//
// A worker may start whatever it is ordered to without checking its capacity, so placing by an
// outdated figure could overload it.
func (e *Engine) resize(now time.Duration, w *worker, capacity workload.Resources) {
	w.maxCapacity = w.maxCapacity.Max(capacity)
	if capacity == w.info.Capacity {
		return
	}
	e.actions = append(e.actions, WorkerResized{Worker: w.info.ID, Before: w.info.Capacity, After: capacity, Used: w.used})
	w.info.Capacity = capacity
	e.workerAddedAt = now
	e.planNeeded = true
}

// WorkerResized reports a change of a worker's capacity. Used is the capacity that the planner
// counts as taken there.
type WorkerResized struct {
	Worker              WorkerID
	Before, After, Used workload.Resources
}

func (WorkerResized) isAction() {}

// String returns the change for the log.
func (r WorkerResized) String() string {
	return fmt.Sprintf("capacity %+v before, %+v now, %+v in use", r.Before, r.After, r.Used)
}
