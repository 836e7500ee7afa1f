package entry

import (
	"sync/atomic"

	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// minRelayedRackSize is the least number of agents in a rack that has a relay. With
	// two, a relay would save one connection and cost a way more.
	minRelayedRackSize = 3
	// relayBelow: relays named already are kept until the agents are fewer than
	// this part of the limit, so that one agent that comes and goes does not move
	// all others.
	relayHysteresisNumerator, relayHysteresisDenominator = 4, 5
)

// relays is the choice of the relay of each rack, made again about every second.
// Reads are safe for concurrent use; one goroutine calls choose.
type relays struct {
	threshold int
	current   atomic.Pointer[relaysByRack]
}

// relaysByRack has the relay of each rack, by service.
type relaysByRack map[string]map[membership.Rack]wire.RelayInfo

func newRelays(threshold int) *relays {
	r := &relays{threshold: threshold}
	r.current.Store(&relaysByRack{})
	return r
}

// update makes the choice from the members that are known.
func (r *relays) update(snap *membership.Snapshot) {
	byRack := relaysByRack{}
	if r.needed(snap) {
		for _, service := range snap.Services() {
			byRack[service] = membership.ChooseRelays(snap.Service(service), minRelayedRackSize)
		}
	}
	r.current.Store(&byRack)
}

// needed says whether the agents are so many that their own reports would cost
// an entry more than its share.
func (r *relays) needed(snap *membership.Snapshot) bool {
	if r.threshold == 0 {
		return false
	}
	limit := r.threshold
	if len(*r.current.Load()) > 0 {
		limit = limit * relayHysteresisNumerator / relayHysteresisDenominator
	}
	agents := 0
	for _, service := range snap.Services() {
		agents += len(snap.Service(service).Members)
	}
	return agents > limit
}

// relayOf returns the relay relayOf a member's rack; the zero value: there is none.
func (r *relays) relayOf(m *membership.Member) wire.RelayInfo {
	return (*r.current.Load())[m.Report.Service][membership.RackOf(&m.Report)]
}
