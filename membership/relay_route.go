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
	self         string
	relay        wire.RelayInfo
	digest       uint64
	entries      []string
	validUntil   time.Time
	avoidedUntil map[wire.RelayInfo]time.Time
}

// NewRelayRoute returns the path of the agent with the ID, which begins without a
// relay.
func NewRelayRoute(self string) *RelayRoute {
	return &RelayRoute{self: self, avoidedUntil: make(map[wire.RelayInfo]time.Time)}
}

// Relay returns the relay to report to; false: there is none.
func (r *RelayRoute) Relay() (wire.RelayInfo, bool) { return r.relay, r.relay != wire.RelayInfo{} }

// Digest is the digest of the relay's last answer with content.
func (r *RelayRoute) Digest() uint64 { return r.digest }

// OfferRelay says that an entry named the relay of the agent's rack. An agent that
// has one stays with it: entries that don't know the same agents name different
// ones, and following each word would move it to and fro. The relay itself says
// when another one is to be used.
func (r *RelayRoute) OfferRelay(now time.Time, relay wire.RelayInfo) {
	if _, ok := r.Relay(); !ok {
		r.switchTo(now, relay)
	}
}

// Clear ends the use of the relay.
func (r *RelayRoute) Clear() {
	r.relay = wire.RelayInfo{}
	r.digest, r.entries, r.validUntil = 0, nil, time.Time{}
}

// HandleFailure says that the relay left a report unanswered, or refused it.
func (r *RelayRoute) HandleFailure(now time.Time) {
	r.avoidedUntil[r.relay] = now.Add(relayAvoidPeriod)
	r.Clear()
}

// HandleAck takes the relay's answer to the report that was sent at the time.
func (r *RelayRoute) HandleAck(now, sent time.Time, ack *wire.ReportAck) {
	if slices.Contains(ack.Refused, r.self) {
		r.HandleFailure(now)
		return
	}
	if ack.Digest != r.digest {
		r.digest = ack.Digest
		r.entries = addresses(ack.Entries)
		if ack.Relay != r.relay {
			r.switchTo(now, ack.Relay)
			return
		}
	}
	r.validUntil = sent.Add(relayAckValidity)
}

func addresses(entries []wire.EntryInfo) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Address)
	}
	return out
}

func (r *RelayRoute) switchTo(now time.Time, to wire.RelayInfo) {
	r.Clear()
	for relay, until := range r.avoidedUntil {
		if !now.Before(until) {
			delete(r.avoidedUntil, relay)
		}
	}
	if _, avoided := r.avoidedUntil[to]; avoided || to.ID == r.self {
		return
	}
	r.relay = to
}

// ForwardsTo says whether the relay passes the agent's reports on to the entry.
func (r *RelayRoute) ForwardsTo(now time.Time, entry string) bool {
	return now.Before(r.validUntil) && slices.Contains(r.entries, entry)
}

// ValidUntil returns when the relay's word ends if it does not answer again.
func (r *RelayRoute) ValidUntil() time.Time { return r.validUntil }
