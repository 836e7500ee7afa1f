package engine

import (
	"fmt"
	"time"
)

// waitLogInterval is the minimum interval between log lines about the same waiting unit.
const waitLogInterval = 5 * time.Second

// waitLogDue reports whether the next log line about a waiting unit is due.
func (r *round) waitLogDue(u *unit) bool {
	return r.now-u.waitingSince >= waitLogInterval && r.now >= u.nextWaitLog
}

// logWait logs for how long and why a unit waits, what it needs, and what is expected.
func (r *round) logWait(u *unit, expected string) {
	u.nextWaitLog = r.now + waitLogInterval
	needs := fmt.Sprintf("step %d needs %d x %+v", u.step, u.size, u.demand())
	waited := (r.now - u.waitingSince).Milliseconds()
	r.e.logJobDecision(u.job, "waits", fmt.Sprintf("for %d ms, %s; %s; %s", waited, u.waitReason, needs, expected))
}

// logWaitForRoom logs, if that is due, the wait of a unit that fits after a delay on the workers of slots,
// or never if that is nil.
func (r *round) logWaitForRoom(u *unit, at time.Duration, slots map[*worker]int) {
	if !r.waitLogDue(u) {
		return
	}
	if slots == nil {
		r.logWait(u, fmt.Sprintf("not expected to fit on the %d usable workers", len(r.usable.workers)))
		return
	}
	r.logWait(u, fmt.Sprintf("expected to fit in %d ms on %d workers", at.Milliseconds(), len(slots)))
}

// reserve reserves the earliest capacity expected to become free for a waiting unit. Units
// behind it that would still run at that time can't use that capacity.
func (r *round) reserve(u *unit) {
	at, slots := never, map[*worker]int(nil)
	for _, set := range r.preferredDomains(u).domains {
		t, s := r.forecastFit(u, set, never)
		if s != nil && t < at {
			at, slots = t, s
		}
	}
	r.logWaitForRoom(u, at, slots)
	if slots == nil {
		return
	}
	r.reservations++
	for w, n := range slots {
		w.round.reserved = append(w.round.reserved, reservation{resources: u.demand().Times(n), from: r.now + at})
	}
	if u.needsTicket() && at > 0 && at <= r.requestLead(u) {
		r.requestAhead(u, slots, at)
	}
}
