package engine

import "time"

// Health of workers that fail what they start, or refuse it, while their health
// check is good. Failures count only where different units meet them in a row: a job
// that fails by its own fault fails on every worker.
const (
	// firstRest is how long a worker gets nothing after its second failure in a row;
	// each further one doubles it, up to maxRest. Disruptions of this kind last about
	// five seconds, so a worker is tried again two or three times in one.
	firstRest = 1500 * time.Millisecond
	maxRest   = 12 * time.Second
	// restAfter is the number of failures in a row that make a worker rest.
	restAfter = 2
)

// health is what a worker's past runs say of it.
type health struct {
	failures int
	last     *unit
	rests    time.Duration
	until    time.Duration
}

func (h *health) failed(u *unit, now time.Duration) {
	if h.last == u {
		return
	}
	h.last = u
	h.failures++
	if h.failures < restAfter {
		return
	}
	h.rest(now)
}

// distrust counts a failure of p against its worker.
func (e *Engine) distrust(now time.Duration, p *placement) {
	if e.params.Policy.WorkerHealth {
		p.worker.health.failed(p.unit, now)
	}
}

// rest keeps work away from the worker for a while.
func (h *health) rest(now time.Duration) {
	h.rests = min(max(2*h.rests, firstRest), maxRest)
	h.until = max(h.until, now+h.rests)
}

// fullRest is how long a worker that has no room for what it was to start gets nothing. It
// has less than it last told, and tells how much it has in each heartbeat.
const fullRest = 750 * time.Millisecond

// pause keeps work away from a worker that had no room. It says nothing of its health.
func (h *health) pause(now time.Duration) { h.until = max(h.until, now+fullRest) }

func (h *health) succeeded() { *h = health{} }

// resting says whether new tasks should go elsewhere.
func (h *health) resting(now time.Duration) bool { return now < h.until }

// suspicion orders workers: those without failures first.
func (h *health) suspicion() int { return min(h.failures, restAfter) }
