package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// resize notes how much room a worker says it has now. What runs there goes on, also where
// it takes more; new work is placed by what is left.
//
// The failure it guards against: a worker that does not count for itself starts whatever it
// is told to, and a planner that went by what it had said first would start more there than
// it has.
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

// WorkerResized: a worker has more or less room than before. Used is what the planner counts as
// taken there.
type WorkerResized struct {
	Worker              WorkerID
	Before, After, Used workload.Resources
}

func (WorkerResized) isAction() {}

// String returns the change for the log.
func (r WorkerResized) String() string {
	return fmt.Sprintf("%+v before, %+v now, %+v taken", r.Before, r.After, r.Used)
}
