package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// sharedAck is the part of a report's answer that is the same for all agents: which
// entries there are. It is made once for each change of them, and left out where
// the sender has it already.
type sharedAck struct {
	ack wire.ReportAck
}

// updateSharedAck makes the news from the other entries that are known now.
func (e *Entry) updateSharedAck(others []entryRecord) {
	updated := &sharedAck{ack: wire.ReportAck{Entries: []wire.EntryInfo{{
		ID:          e.cfg.ID,
		Address:     e.advertisedAddr(),
		Zone:        e.cfg.Zone,
		Incarnation: e.incarnation,
	}}}}
	for _, p := range others {
		updated.ack.Entries = append(updated.ack.Entries, wire.EntryInfo{
			ID:          p.ID,
			Address:     p.Address,
			Zone:        p.Zone,
			Incarnation: p.Incarnation,
		})
	}
	updated.ack.Digest = ackDigest(&updated.ack)
	e.sharedAck.Store(updated)
}

// newReportAck begins the newReportAck to a report whose sender knows the news and the relay
// of its rack with the digest.
func (e *Entry) newReportAck(knownDigest uint64, relay wire.RelayInfo) *wire.ReportAck {
	ack := e.sharedAck.Load().ack
	ack.Relay = relay
	if relay.ID != "" {
		ack.Digest ^= xxhash.Sum64String(relay.ID+"/"+relay.Address) + relay.Incarnation
	}
	if ack.Digest == knownDigest {
		return &wire.ReportAck{Digest: knownDigest}
	}
	return &ack
}
