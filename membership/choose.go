package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Rack names a rack within a service.
type Rack struct{ Zone, Name string }

// RackOf returns the rack that a report names.
func RackOf(r *wire.AgentReport) Rack { return Rack{Zone: r.Zone, Name: r.Rack} }

// ChooseRelays returns the relay of each rack of the service that has at least
// so many agents. It is the one with the highest hash of rack and agent
// (rendezvous hashing) among those that are alive, not draining and able to
// relay. Whoever knows the same agents chooses the same, and one that comes or
// goes changes the choice of its own rack at most.
func ChooseRelays(view *ServiceView, least int) map[Rack]wire.RelayInfo {
	type best struct {
		hash  uint64
		from  *Member
		count int
	}
	racks := make(map[Rack]best)
	for _, m := range view.Members {
		rack := RackOf(&m.Report)
		b := racks[rack]
		b.count++
		if h := relayHash(m); canRelay(m) && (b.from == nil || h > b.hash) {
			b.hash, b.from = h, m
		}
		racks[rack] = b
	}
	relays := make(map[Rack]wire.RelayInfo, len(racks))
	for rack, b := range racks {
		if b.from != nil && b.count >= least {
			relays[rack] = RelayOf(&b.from.Report)
		}
	}
	return relays
}

// RelayOf names the agent of a report as a relay.
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
