package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Rack identifies a rack of a service by availability zone and name.
type Rack struct{ Zone, Name string }

// RackOf returns the rack of the agent that sent the report.
func RackOf(r *wire.AgentReport) Rack { return Rack{Zone: r.Zone, Name: r.Rack} }

// ChooseRelays returns the relay of each rack of the service that has at least
// minAgents agents: among those that are alive, not draining and able to relay, the one
// with the highest hash of rack and agent (rendezvous hashing). Processes that know the
// same agents choose the same relays, and an agent that joins or leaves affects only
// its own rack.
func ChooseRelays(view *ServiceView, minAgents int) map[Rack]wire.RelayInfo {
	type best struct {
		hash   uint64
		member *Member
		count  int
	}
	racks := make(map[Rack]best)
	for _, m := range view.Members {
		rack := RackOf(&m.Report)
		b := racks[rack]
		b.count++
		if h := relayHash(m); canRelay(m) && (b.member == nil || h > b.hash) {
			b.hash, b.member = h, m
		}
		racks[rack] = b
	}
	relays := make(map[Rack]wire.RelayInfo, len(racks))
	for rack, b := range racks {
		if b.member != nil && b.count >= minAgents {
			relays[rack] = RelayOf(&b.member.Report)
		}
	}
	return relays
}

// RelayOf returns the agent that sent the report in the form in which relays are named.
func RelayOf(r *wire.AgentReport) wire.RelayInfo {
	return wire.RelayInfo{ID: r.ID, Incarnation: r.Incarnation, Address: r.Address}
}

func canRelay(m *Member) bool {
	return m.Report.CanRelay && m.State == Alive && m.Schedulable()
}

func relayHash(m *Member) uint64 {
	r := &m.Report
	return xxhash.Sum64String(r.Service + "/" + r.Zone + "/" + r.Rack + "/" + r.ID)
}
