package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A job that fits no set of known workers keeps waiting, and the reason is logged. It is not
// failed, since workers may come back or be added, with other labels or capacities, and a
// failed job implies that its tasks were tried.
const (
	// workerSettleTime is how long workers may take to register.
	workerSettleTime = 4 * time.Second
	// unschedulableCheckInterval is the minimum interval between checks of the same job.
	unschedulableCheckInterval = time.Second
)

// logUnschedulable logs why a job fits no workers whenever the reason changes.
func (e *Engine) logUnschedulable(now time.Duration, j *job) {
	if now-e.workerAddedAt < workerSettleTime || now-e.startedAt < workerSettleTime || now < j.unschedulableCheckAt {
		return
	}
	j.unschedulableCheckAt = now + unschedulableCheckInterval
	reason := e.unschedulableReason(j)
	if reason != "" && reason != j.unschedulableReason {
		e.logJobDecision(j, "fits no worker", reason)
	}
	j.unschedulableReason = reason
}

// unschedulableReason returns why no set of known workers could hold some waiting unit of the
// job, or an empty string if there is none such.
func (e *Engine) unschedulableReason(j *job) string {
	for _, u := range j.units {
		if u.state != unitWaiting {
			continue
		}
		if reason := e.unschedulableUnit(u); reason != "" {
			return reason
		}
	}
	return ""
}

func (e *Engine) unschedulableUnit(u *unit) string {
	s := u.spec()
	fitting, workers := 0, 0
	for _, w := range e.workers {
		if w.info.Service != u.job.spec.Service || w.leaseExpired {
			continue
		}
		workers++
		if w.hasLabel(s.Label) {
			fitting += capPerWorker(s, s.Demand().CountFitting(w.info.Capacity, u.size))
		}
	}
	switch {
	case workers == 0:
		return fmt.Sprintf("service %s has no worker", u.job.spec.Service)
	case fitting == 0:
		return fmt.Sprintf("a task of step %d (%+v, label %q) fits none of %d workers of service %s", u.step, s.Need, s.Label, workers, u.job.spec.Service)
	case fitting < u.size:
		return fmt.Sprintf("step %d needs capacity for %d tasks at once, but all matching workers together have capacity for %d", u.step, u.size, fitting)
	}
	return ""
}

// capPerWorker applies the step's limit of tasks per worker to n.
func capPerWorker(s *workload.Step, n int) int {
	if s.MaxPerWorker > 0 {
		return min(n, s.MaxPerWorker)
	}
	return n
}
