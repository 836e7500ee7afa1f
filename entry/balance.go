package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCandidateAge is how long an entry must have been registered before leaderships
	// are handed over to it, so that one that restarts repeatedly gets none.
	minCandidateAge = 30 * time.Second
	// minLeadershipSurplus is how many leaderships more than the receiver an entry must
	// hold to hand one over. Each hand-over costs a planner start.
	minLeadershipSurplus = 2
	// handOverRetryInterval is how long a leadership that came back is kept: the
	// preferred entry can't take it for a reason that its registration does not show.
	handOverRetryInterval = 10 * time.Minute
	// candidacyDelayStep is how long a candidate waits for each more preferred one.
	candidacyDelayStep = 150 * time.Millisecond
)

// candidate is another entry that may hold leaderships.
type candidate struct {
	id           string
	presentSince time.Time // when this incarnation was first seen
	leaderships  int       // number held
	// services are those that the entry takes part in; empty means all.
	services []string
}

func (c *candidate) servesService(service string) bool {
	return len(c.services) == 0 || slices.Contains(c.services, service)
}

// rendezvousWeight orders the entries for a service by rendezvous hashing. Every entry
// computes the same order without communication, and an entry that joins or leaves
// changes the preferred entry only for the services that it is preferred for.
func rendezvousWeight(service, entry string) uint64 {
	return xxhash.Sum64String(service + "\x00" + entry)
}

// rank returns how many of the other entries are preferred over this one for a service.
func rank(service, ownID string, others []candidate) int {
	n := 0
	for i := range others {
		if others[i].servesService(service) && rendezvousWeight(service, others[i].id) > rendezvousWeight(service, ownID) {
			n++
		}
	}
	return n
}

// ownLeadership is a leadership held by this entry.
type ownLeadership struct {
	service      string
	handedOverAt time.Time // when it was last handed over, or zero
}

// chooseHandOver returns which of the leaderships held here to hand over now, and to
// whom. It is a pure function. A leadership moves only to the entry that is preferred for
// the service, has been registered for minCandidateAge and holds fewer leaderships by at
// least minLeadershipSurplus.
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

// preferredEntry returns the entry with the highest weight, or nil if that is this one.
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
