package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// news is the part of a report's answer that is the same for all agents: which
// entries there are. It is made once for each change of them, and left out where
// the sender has it already.
type news struct {
	ack wire.ReportAck
}

// setNews makes the news from the other entries that are known now.
func (e *Entry) setNews(others []peerEntry) {
	n := &news{ack: wire.ReportAck{Entries: []wire.EntryInfo{{
		ID:          e.cfg.ID,
		Address:     e.advertised(),
		Zone:        e.cfg.Zone,
		Incarnation: e.incarnation,
	}}}}
	for _, p := range others {
		n.ack.Entries = append(n.ack.Entries, wire.EntryInfo{
			ID:          p.ID,
			Address:     p.Address,
			Zone:        p.Zone,
			Incarnation: p.Incarnation,
		})
	}
	n.ack.Digest = digestOf(&n.ack)
	e.latest.Store(n)
}

// answer begins the answer to a report whose sender knows the news and the relay
// of its rack with the digest.
func (e *Entry) answer(known uint64, relay wire.RelayInfo) *wire.ReportAck {
	ack := e.latest.Load().ack
	ack.Relay = relay
	if relay.ID != "" {
		ack.Digest ^= xxhash.Sum64String(relay.ID+"/"+relay.Address) + relay.Incarnation
	}
	if ack.Digest == known {
		return &wire.ReportAck{Digest: known}
	}
	return &ack
}
