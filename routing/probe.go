package routing

import "time"

// ProbeFailed reports that a connection to the target does not respond to a probe.
// It ejects the target. The entry ends the attempts in flight there as
// Unreachable.
//
// It detects connections whose path has dropped their state, where requests
// vanish without an error until an idle timeout of minutes.
func (r *Router) ProbeFailed(now time.Time, id TargetID) {
	e := r.endpoints.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.unresponsive = true
	r.eject(e, now.UnixNano())
	r.publish(e)
}

// ProbeSucceeded reports that the target answered a probe. If the target was
// ejected as unresponsive, its trial is due now instead of after the backoff.
func (r *Router) ProbeSucceeded(now time.Time, id TargetID) {
	e := r.endpoints.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if nowNanos := now.UnixNano(); e.breaker.unresponsive && e.ejectedUntil.Load() > nowNanos {
		e.ejectedUntil.Store(nowNanos)
	}
}
