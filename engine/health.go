package engine

import "time"

// Health of workers that fail what they start, or refuse it, while their health
// check is good. Failures count only where different units meet them in a row: a job
// that fails by its own fault fails on every worker.
const (
	// initialBackoff is how long a worker gets nothing after its second failure in a row;
	// each further one doubles it, up to maxRest. Disruptions of this kind last about
	// five seconds, so a worker is tried again two or three times in one.
	initialBackoff = 1500 * time.Millisecond
	maxBackoff     = 12 * time.Second
	// backoffThreshold is the number of failures in a row that make a worker rest.
	backoffThreshold = 2
)

// workerHealth is what a worker's past runs say of it.
type workerHealth struct {
	failures    int
	lastUnit    *unit
	lastBackoff time.Duration
	pausedUntil time.Duration
}

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

// countWorkerFailure counts a failure of p against its worker.
func (e *Engine) countWorkerFailure(now time.Duration, p *placement) {
	if e.params.Policy.WorkerHealth {
		p.worker.health.recordFailure(p.unit, now)
	}
}

// startBackoff keeps work away from the worker for a while.
func (h *workerHealth) startBackoff(now time.Duration) {
	h.lastBackoff = min(max(2*h.lastBackoff, initialBackoff), maxBackoff)
	h.pausedUntil = max(h.pausedUntil, now+h.lastBackoff)
}

// noCapacityPause is how long a worker that has no room for what it was to start gets nothing. It
// has less than it last told, and tells how much it has in each heartbeat.
const noCapacityPause = 750 * time.Millisecond

// pauseForCapacity keeps work away from a worker that had no room. It says nothing of its health.
func (h *workerHealth) pauseForCapacity(now time.Duration) {
	h.pausedUntil = max(h.pausedUntil, now+noCapacityPause)
}

func (h *workerHealth) reset() { *h = workerHealth{} }

// paused says whether new tasks should go elsewhere.
func (h *workerHealth) paused(now time.Duration) bool { return now < h.pausedUntil }

// failureRank orders workers: those without failures first.
func (h *workerHealth) failureRank() int { return min(h.failures, backoffThreshold) }
