package engine

import (
	"fmt"
	"time"
)

// waitLogInterval is the minimum interval between log lines about the same waiting unit.
const waitLogInterval = 5 * time.Second

// logWait logs why a unit waits, what it needs and when it is expected to fit.
func (r *round) logWait(u *unit, at time.Duration, slots map[*worker]int) {
	if r.now-u.waitingSince < waitLogInterval || r.now < u.nextWaitLog {
		return
	}
	u.nextWaitLog = r.now + waitLogInterval
	needs := fmt.Sprintf("step %d needs %d x %+v", u.step, u.size, u.demand())
	waited := (r.now - u.waitingSince).Milliseconds()
	detail := fmt.Sprintf("for %d ms, %s; %s; not expected to fit on the %d usable workers", waited, u.waitReason, needs, len(r.usable.workers))
	if slots != nil {
		detail = fmt.Sprintf("for %d ms, %s; %s; expected to fit in %d ms on %d workers", waited, u.waitReason, needs, at.Milliseconds(), len(slots))
	}
	r.e.logJobDecision(u.job, "waits", detail)
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
	r.logWait(u, at, slots)
	if slots == nil {
		return
	}
	r.reservations++
	for w, n := range slots {
		w.round.reserved = append(w.round.reserved, reservation{resources: u.demand().Times(n), from: r.now + at})
	}
}
