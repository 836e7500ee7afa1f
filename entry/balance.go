package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is how long an entry has to be there before duties are handed
	// over to it: one that restarts again and again never gets any.
	settleTime = 30 * time.Second
	// worthMoving is by how many duties a holder has to be ahead of the entry that
	// a duty is handed over to. Each hand-over costs that duty a planner's start.
	worthMoving = 2
	// offerAgain is how long a duty that came back is kept: its preferred entry
	// can't take it for a reason that does not show in its registration.
	offerAgain = 10 * time.Minute
	// hesitation is what each less preferred candidate leaves to those before it.
	hesitation = 150 * time.Millisecond
)

// candidate is an entry that may hold duties.
type candidate struct {
	id     string
	since  time.Time // when this incarnation was first seen
	duties int       // that it holds
	// services are those it takes part in; empty means all.
	services []string
}

func (c *candidate) serves(service string) bool {
	return len(c.services) == 0 || slices.Contains(c.services, service)
}

// weight orders the entries for a service (rendezvous hashing): the same at every
// entry without a word between them, and changed by the coming or going of an
// entry only for the services that it is first for.
func weight(service, entry string) uint64 {
	return xxhash.Sum64String(service + "\x00" + entry)
}

// rank is how many of the others come before own for a service.
func rank(service, own string, others []candidate) int {
	n := 0
	for i := range others {
		if others[i].serves(service) && weight(service, others[i].id) > weight(service, own) {
			n++
		}
	}
	return n
}

// ownDuty is a duty held here.
type ownDuty struct {
	service string
	offered time.Time // when it was last handed over; zero: never
}

// choose returns which of the duties held here to hand over now, and to whom. It
// is a decision only: no clock, no state.
//
// It is given what is worth moving only: to the entry that every other prefers for
// the service, that has been there for a while, and that has fewer duties. With one
// service, or after a short absence of an entry, nothing moves.
func choose(now time.Time, own string, held []ownDuty, others []candidate) (service, to string, ok bool) {
	for _, d := range held {
		if !d.offered.IsZero() && now.Sub(d.offered) < offerAgain {
			continue
		}
		best := preferred(d.service, own, others)
		if best == nil || now.Sub(best.since) < settleTime || len(held)-best.duties < worthMoving {
			continue
		}
		return d.service, best.id, true
	}
	return "", "", false
}

// preferred is the entry of the highest weight; nil where that is this one.
func preferred(service, own string, others []candidate) *candidate {
	var best *candidate
	most := weight(service, own)
	for i := range others {
		if w := weight(service, others[i].id); others[i].serves(service) && w > most {
			best, most = &others[i], w
		}
	}
	return best
}
