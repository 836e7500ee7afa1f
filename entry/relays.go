package entry

import (
	"sync/atomic"

	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// relayRack is the least number of agents in a rack that has a relay. With
	// two, a relay would save one connection and cost a way more.
	relayRack = 3
	// relayBelow: relays named already are kept until the agents are fewer than
	// this part of the limit, so that one agent that comes and goes does not move
	// all others.
	relayBelowNumerator, relayBelowDenominator = 4, 5
)

// relays is the choice of the relay of each rack, made again about every second.
// Reads are safe for concurrent use; one goroutine calls choose.
type relays struct {
	above  int
	chosen atomic.Pointer[relayChoice]
}

// relayChoice has the relay of each rack, by service.
type relayChoice map[string]map[membership.Rack]wire.RelayInfo

func newRelays(above int) *relays {
	r := &relays{above: above}
	r.chosen.Store(&relayChoice{})
	return r
}

// choose makes the choice from the members that are known.
func (r *relays) choose(snap *membership.Snapshot) {
	choice := relayChoice{}
	if r.wanted(snap) {
		for _, service := range snap.Services() {
			choice[service] = membership.ChooseRelays(snap.Service(service), relayRack)
		}
	}
	r.chosen.Store(&choice)
}

// wanted says whether the agents are so many that their own reports would cost
// an entry more than its share.
func (r *relays) wanted(snap *membership.Snapshot) bool {
	if r.above == 0 {
		return false
	}
	limit := r.above
	if len(*r.chosen.Load()) > 0 {
		limit = limit * relayBelowNumerator / relayBelowDenominator
	}
	agents := 0
	for _, service := range snap.Services() {
		agents += len(snap.Service(service).Members)
	}
	return agents > limit
}

// of returns the relay of a member's rack; the zero value: there is none.
func (r *relays) of(m *membership.Member) wire.RelayInfo {
	return (*r.chosen.Load())[m.Report.Service][membership.RackOf(&m.Report)]
}
