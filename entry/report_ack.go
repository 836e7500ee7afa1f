package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// sharedAck is the part of a report's answer that is the same for all agents: the list of
// entries. It is built once for each change of the list, and omitted where the sender
// already has it.
type sharedAck struct {
	ack wire.ReportAck
}

// updateSharedAck rebuilds the shared ack from the other entries that are known now.
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

// newReportAck starts the answer to a report. It leaves out the list of entries and the
// relay of the sender's rack when the sender's digest shows that it has both.
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
