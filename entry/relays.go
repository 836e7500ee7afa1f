package entry

import (
	"sync/atomic"

	"github.com/eelgrasshub/eelgrasshub/membership"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

const (
	// minRelayedRackSize is the minimum number of agents in a rack for it to get a relay.
	// With two, a relay would save one connection and add a hop.
	minRelayedRackSize = 3
	// Once relays are in use, they are kept until the number of agents falls to this
	// fraction of the threshold, so that one agent that comes and goes does not reconnect
	// all others.
	relayHysteresisNumerator, relayHysteresisDenominator = 4, 5
)

// relays holds the relay of each rack. relayOf is safe for concurrent use; update must be
// called from one goroutine.
type relays struct {
	threshold int
	current   atomic.Pointer[relaysByRack]
}

// relaysByRack holds the relay of each rack, by service.
type relaysByRack map[string]map[membership.Rack]wire.RelayInfo

func newRelays(threshold int) *relays {
	r := &relays{threshold: threshold}
	r.current.Store(&relaysByRack{})
	return r
}

// update chooses the relays from the known members.
func (r *relays) update(snap *membership.Snapshot) {
	byRack := relaysByRack{}
	if r.needed(snap) {
		for _, service := range snap.Services() {
			byRack[service] = membership.ChooseRelays(snap.Service(service), minRelayedRackSize)
		}
	}
	r.current.Store(&byRack)
}

// needed reports whether there are too many agents for all of them to report directly. A
// threshold of 0 disables relays.
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

// relayOf returns the relay of a member's rack, or the zero value if there is none.
func (r *relays) relayOf(m *membership.Member) wire.RelayInfo {
	return (*r.current.Load())[m.Report.Service][membership.RackOf(&m.Report)]
}
