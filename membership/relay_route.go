package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// RelayRoute decides for one agent by which way its reports reach the entries:
// through the relay of its rack, or by itself. One goroutine owns it.
//
// A relay is believed for as long as its last answer is young, and only for the
// entries that it says take its reports. It guards against a relay that is dead,
// frozen, cut off from an entry, or of a binary that does not relay: each shows
// as an answer that does not come, or that lacks the entry, and the agent reports
// to that entry itself again.
type RelayRoute struct {
	self    string
	relay   wire.RelayInfo
	digest  uint64
	entries []string
	until   time.Time
	avoided map[wire.RelayInfo]time.Time
}

// NewRelayRoute returns the path of the agent with the ID, which begins without a
// relay.
func NewRelayRoute(self string) *RelayRoute {
	return &RelayRoute{self: self, avoided: make(map[wire.RelayInfo]time.Time)}
}

// Relay returns the relay to report to; false: there is none.
func (p *RelayRoute) Relay() (wire.RelayInfo, bool) { return p.relay, p.relay != wire.RelayInfo{} }

// Digest is the digest of the relay's last answer with content.
func (p *RelayRoute) Digest() uint64 { return p.digest }

// OfferRelay says that an entry named the relay of the agent's rack. An agent that
// has one stays with it: entries that don't know the same agents name different
// ones, and following each word would move it to and fro. The relay itself says
// when another one is to be used.
func (p *RelayRoute) OfferRelay(now time.Time, relay wire.RelayInfo) {
	if _, ok := p.Relay(); !ok {
		p.move(now, relay)
	}
}

// Clear ends the use of the relay.
func (p *RelayRoute) Clear() {
	p.relay = wire.RelayInfo{}
	p.digest, p.entries, p.until = 0, nil, time.Time{}
}

// HandleFailure says that the relay left a report unanswered, or refused it.
func (p *RelayRoute) HandleFailure(now time.Time) {
	p.avoided[p.relay] = now.Add(relayAvoid)
	p.Clear()
}

// HandleAck takes the relay's answer to the report that was sent at the time.
func (p *RelayRoute) HandleAck(now, sent time.Time, ack *wire.ReportAck) {
	if slices.Contains(ack.Refused, p.self) {
		p.HandleFailure(now)
		return
	}
	if ack.Digest != p.digest {
		p.digest = ack.Digest
		p.entries = addresses(ack.Entries)
		if ack.Relay != p.relay {
			p.move(now, ack.Relay)
			return
		}
	}
	p.until = sent.Add(relayCover)
}

func addresses(entries []wire.EntryInfo) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Address)
	}
	return out
}

func (p *RelayRoute) move(now time.Time, to wire.RelayInfo) {
	p.Clear()
	for relay, until := range p.avoided {
		if !now.Before(until) {
			delete(p.avoided, relay)
		}
	}
	if _, bad := p.avoided[to]; bad || to.ID == p.self {
		return
	}
	p.relay = to
}

// ForwardsTo says whether the relay passes the agent's reports on to the entry.
func (p *RelayRoute) ForwardsTo(now time.Time, entry string) bool {
	return now.Before(p.until) && slices.Contains(p.entries, entry)
}

// ValidUntil returns when the relay's word ends if it does not answer again.
func (p *RelayRoute) ValidUntil() time.Time { return p.until }
