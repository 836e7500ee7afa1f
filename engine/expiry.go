package engine

import (
	"slices"
	"time"
)

// expireLease ends the runs of a worker whose lease has expired, apart from starts that may still take
// effect on its next incarnation.
func (e *Engine) expireLease(now time.Duration, w *worker) {
	if now < w.leaseExpiresAt {
		return
	}
	first := !w.leaseExpired
	if first {
		w.leaseExpired = true
		w.placementsAtExpiry = nil
		e.reportExpiry(now, w)
	}
	for _, p := range slices.Clone(w.sortedPlacements()) {
		if e.mayStartLate(now, p) {
			continue
		}
		w.placementsAtExpiry = append(w.placementsAtExpiry, p)
		e.handleLostRun(now, p, CauseLeaseExpired, "the worker's lease expired")
	}
	if first {
		// Runs that it lists later have no placement any more.
		w.attached = false
	}
}

// mayStartLate reports whether the start of p may still have effect on a later incarnation of a worker
// that keeps its name. Until an agent has fenced that incarnation, it accepts the delayed call, and the
// lease in the call does not limit the run: it is on the clock of the incarnation that was meant. Only
// the longest lease that a worker grants does. settleSuperseded moves p if the next incarnation reports
// before.
func (e *Engine) mayStartLate(now time.Duration, p *placement) bool {
	if p.worker.info.Name == "" || p.startSettled() {
		return false
	}
	return now < e.params.leaseExpiry(p.lastCallBy+MaxCallDelay)
}
