package routing

import "time"

// ProbeFailed reports that a connection to the target went silent, as found by
// probing. The target is ejected at once. The entry ends the attempts in flight
// there as Unreachable.
//
// It guards against a path that lost track of an open connection: requests sent
// on it vanish without an error until an idle timeout of minutes. Only an
// answer proves the path, so the entry probes where it waits in vain.
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

// ProbeSucceeded reports that a target ejected for silence has answered a probe. It is
// due for its trial now instead of after its backoff.
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
