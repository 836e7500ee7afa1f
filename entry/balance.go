package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCandidateAge is how long an entry has to be there before duties are handed
	// over to it: one that restarts again and again never gets any.
	minCandidateAge = 30 * time.Second
	// minLeadershipSurplus is by how many duties a holder has to be ahead of the entry that
	// a duty is handed over to. Each hand-over costs that duty a planner's start.
	minLeadershipSurplus = 2
	// handOverRetryInterval is how long a duty that came back is kept: its preferred entry
	// can't take it for a reason that does not show in its registration.
	handOverRetryInterval = 10 * time.Minute
	// candidacyDelayStep is what each less preferred candidate leaves to those before it.
	candidacyDelayStep = 150 * time.Millisecond
)

// candidate is an entry that may hold duties.
type candidate struct {
	id           string
	presentSince time.Time // when this incarnation was first seen
	leaderships  int       // that it holds
	// services are those it takes part in; empty means all.
	services []string
}

func (c *candidate) servesService(service string) bool {
	return len(c.services) == 0 || slices.Contains(c.services, service)
}

// rendezvousWeight orders the entries for a service (rendezvous hashing): the same at every
// entry without a word between them, and changed by the coming or going of an
// entry only for the services that it is first for.
func rendezvousWeight(service, entry string) uint64 {
	return xxhash.Sum64String(service + "\x00" + entry)
}

// rank is how many of the others come before own for a service.
func rank(service, ownID string, others []candidate) int {
	n := 0
	for i := range others {
		if others[i].servesService(service) && rendezvousWeight(service, others[i].id) > rendezvousWeight(service, ownID) {
			n++
		}
	}
	return n
}

// ownLeadership is a duty held here.
type ownLeadership struct {
	service      string
	handedOverAt time.Time // when it was last handed over; zero: never
}

// chooseHandOver returns which of the duties held here to hand over now, and to whom. It
// is a decision only: no clock, no state.
//
// It is given what is worth moving only: to the entry that every other prefers for
// the service, that has been there for a while, and that has fewer duties. With one
// service, or after a short absence of an entry, nothing moves.
func chooseHandOver(now time.Time, ownID string, held []ownLeadership, others []candidate) (service, to string, ok bool) {
	for _, l := range held {
		if !l.handedOverAt.IsZero() && now.Sub(l.handedOverAt) < handOverRetryInterval {
			continue
		}
		best := preferredEntry(l.service, ownID, others)
		if best == nil || now.Sub(best.presentSince) < minCandidateAge || len(held)-best.leaderships < minLeadershipSurplus {
			continue
		}
		return l.service, best.id, true
	}
	return "", "", false
}

// preferredEntry is the entry of the highest weight; nil where that is this one.
func preferredEntry(service, ownID string, others []candidate) *candidate {
	var best *candidate
	highest := rendezvousWeight(service, ownID)
	for i := range others {
		if w := rendezvousWeight(service, others[i].id); others[i].servesService(service) && w > highest {
			best, highest = &others[i], w
		}
	}
	return best
}
