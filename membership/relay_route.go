package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// RelayRoute tracks through which relay, if any, an agent's reports reach the entries.
// It is not safe for concurrent use.
//
// A relay is relied on only while its last answer is recent, and only for the entries
// that the answer lists. The agent reports to all other entries directly.
type RelayRoute struct {
	self         string
	relay        wire.RelayInfo
	digest       uint64
	entries      []string
	validUntil   time.Time
	avoidedUntil map[wire.RelayInfo]time.Time
}

// NewRelayRoute returns a RelayRoute without a relay for the agent with the ID self.
func NewRelayRoute(self string) *RelayRoute {
	return &RelayRoute{self: self, avoidedUntil: make(map[wire.RelayInfo]time.Time)}
}

// Relay returns the relay to report to, and false if there is none.
func (r *RelayRoute) Relay() (wire.RelayInfo, bool) { return r.relay, r.relay != wire.RelayInfo{} }

// Digest returns the digest of the relay's last answer with content.
func (r *RelayRoute) Digest() uint64 { return r.digest }

// OfferRelay handles the relay that an entry named for the agent's rack. An agent that
// has a relay keeps it: entries that know different agents name different relays, and
// following each would make the agent switch back and forth. The relay's own answer
// names another one when it is to be replaced.
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

// HandleFailure records that the relay did not answer a report, or refused it. The
// relay is avoided for a while.
func (r *RelayRoute) HandleFailure(now time.Time) {
	r.avoidedUntil[r.relay] = now.Add(relayAvoidPeriod)
	r.Clear()
}

// HandleAck processes the relay's answer to the report that was sent at the time sent.
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

// ForwardsTo reports whether the relay forwards the agent's reports to the entry.
func (r *RelayRoute) ForwardsTo(now time.Time, entry string) bool {
	return now.Before(r.validUntil) && slices.Contains(r.entries, entry)
}

// ValidUntil returns until when the relay's last answer is relied on.
func (r *RelayRoute) ValidUntil() time.Time { return r.validUntil }
