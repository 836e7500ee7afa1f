package engine

import (
	"fmt"
	"time"
)

// waitLogInterval is the pause between two lines of the log about the same unit that waits.
// With Policy.Reservations it bounds them to a line each second or so.
const waitLogInterval = 5 * time.Second

// logWait logs what a unit at the head of the queue waits for.
func (r *round) logWait(u *unit, at time.Duration, slots map[*worker]int) {
	if r.now-u.waitingSince < waitLogInterval || r.now < u.nextWaitLog {
		return
	}
	u.nextWaitLog = r.now + waitLogInterval
	needs := fmt.Sprintf("step %d needs %d times %+v", u.step, u.size, u.demand())
	waited := (r.now - u.waitingSince).Milliseconds()
	detail := fmt.Sprintf("for %d ms, %s, no room in sight on %d workers", waited, needs, len(r.usable.workers))
	if slots != nil {
		detail = fmt.Sprintf("for %d ms, %s, room expected in %d ms on %d workers", waited, needs, at.Milliseconds(), len(slots))
	}
	r.e.logJobDecision(u.job, "waits", detail)
}

// reserve keeps the room that will be free first for a unit that waits, against units
// behind it that would still run then.
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
