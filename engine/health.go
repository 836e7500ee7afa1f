package engine

import "time"

// New tasks are kept off workers that fail or refuse tasks although their health check passes.
// Only consecutive failures of different units count, as a faulty job fails on every worker.
const (
	// initialBackoff is how long a worker gets no tasks after backoffThreshold failures in a row.
	// Each further failure doubles it, up to maxBackoff.
	initialBackoff = 1500 * time.Millisecond
	maxBackoff     = 12 * time.Second
	// backoffThreshold is the number of failures in a row after which a worker backs off.
	backoffThreshold = 2
)

// workerHealth is the recent failure history of a worker.
type workerHealth struct {
	failures    int
	lastUnit    *unit
	lastBackoff time.Duration
	pausedUntil time.Duration
}

// recordFailure counts a failure, unless the last one was of the same unit.
func (h *workerHealth) recordFailure(u *unit, now time.Duration) {
	if h.lastUnit == u {
		return
	}
	h.lastUnit = u
	h.failures++
	if h.failures < backoffThreshold {
		return
	}
	h.startBackoff(now)
}

// countWorkerFailure counts a failure of p against its worker if the policy says so.
func (e *Engine) countWorkerFailure(now time.Duration, p *placement) {
	if e.params.Policy.WorkerHealth {
		p.worker.health.recordFailure(p.unit, now)
	}
}

// startBackoff keeps new tasks off the worker for a growing time.
func (h *workerHealth) startBackoff(now time.Duration) {
	h.lastBackoff = min(max(2*h.lastBackoff, initialBackoff), maxBackoff)
	h.pausedUntil = max(h.pausedUntil, now+h.lastBackoff)
}

// noCapacityPause is how long a worker gets no tasks after refusing one for lack of capacity. Its
// next heartbeat reports its actual capacity.
const noCapacityPause = 750 * time.Millisecond

// pauseForCapacity keeps new tasks off a worker that lacked capacity, without counting a failure.
func (h *workerHealth) pauseForCapacity(now time.Duration) {
	h.pausedUntil = max(h.pausedUntil, now+noCapacityPause)
}

func (h *workerHealth) reset() { *h = workerHealth{} }

// paused reports whether the worker gets no new tasks at present.
func (h *workerHealth) paused(now time.Duration) bool { return now < h.pausedUntil }

// failureRank orders workers by recent failures, those without any first.
func (h *workerHealth) failureRank() int { return min(h.failures, backoffThreshold) }
