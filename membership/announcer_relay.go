package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// coverFailures is how many reports in a row an entry may leave unanswered
// before the relay stops saying that its members' reports get there.
const coverFailures = 2

// follow takes an entry's word on the relay of the rack.
func (a *ReportRouter) follow(now time.Time, named wire.RelayInfo) {
	if a.serving(now) {
		a.leave()
		return
	}
	if !a.draining {
		a.path.OfferRelay(now, named)
	}
}

func (a *ReportRouter) leave() {
	if relay, ok := a.path.Relay(); ok {
		a.reporter.Forget(relay.ID)
		a.path.Clear()
	}
}

// serving says whether this agent is the relay. One entry's word is enough:
// entries that don't know the same agents name different ones for a while, and
// each of those may serve. Entries that name none are those that have just
// started: a relay goes on for servingAfter, or a restart of the entries would
// bring them the reports of every single agent in their first moments.
func (a *ReportRouter) serving(now time.Time) bool {
	if a.draining {
		return false
	}
	other := false
	for _, l := range a.entries {
		if !l.covered && l.named == a.self {
			return true
		}
		other = other || l.named.ID != ""
	}
	return !other && !a.served.IsZero() && now.Sub(a.served) < servingAfter
}

// servingAfter is how long an agent stays relay after the last entry's word.
const servingAfter = 30 * time.Second

// relays says whether there is something to relay.
func (a *ReportRouter) relays() bool { return a.relayer.table.Len() > 0 }

// Relay returns the relay that the agent reports to now; false: there is none.
func (a *ReportRouter) Relay() (wire.RelayInfo, bool) { return a.path.Relay() }

// RelayDue returns when to report to the relay next; false: there is none.
func (a *ReportRouter) RelayDue(now time.Time) (time.Time, bool) {
	relay, ok := a.path.Relay()
	if !ok {
		return time.Time{}, false
	}
	return earlier(a.reporter.Due(now, relay.ID), a.toRelay.sent.Add(RelayHeartbeat)), true
}

// ReportToRelay returns what to send to the relay now. Follow it with RelayAcked
// or RelayFailed.
func (a *ReportRouter) ReportToRelay(now time.Time) *wire.Report {
	relay, _ := a.path.Relay()
	own := a.reporter.Report(now, relay.ID)
	a.toRelay = relayLink{sent: now, sequence: own.Sequence}
	return &wire.Report{Reports: []wire.AgentReport{own}, KnownDigest: a.path.Digest()}
}

// HandleRelayAck takes the answer of the relay to the last report. It returns the
// addresses of entries that the answer names and that are new.
func (a *ReportRouter) HandleRelayAck(now time.Time, from wire.RelayInfo, ack *wire.ReportAck) []string {
	if relay, ok := a.path.Relay(); !ok || relay != from {
		return nil // left meanwhile
	}
	a.reporter.HandleAck(now, from.ID, a.toRelay.sequence, ack)
	a.path.HandleAck(now, a.toRelay.sent, ack)
	if relay, _ := a.path.Relay(); relay != from {
		a.reporter.Forget(from.ID)
		return nil
	}
	return a.learn(ack.Entries)
}

// HandleRelayFailure notes that the relay did not answer, or refused the report: the
// agent reports by itself again.
func (a *ReportRouter) HandleRelayFailure(now time.Time, from wire.RelayInfo) {
	if relay, ok := a.path.Relay(); !ok || relay != from {
		return
	}
	a.reporter.Forget(from.ID)
	a.path.HandleFailure(now)
}

// HandleMemberReport answers a report that another agent sent to this one as its relay. news
// says that entries should hear of it at once. An agent that is not the relay
// (any more) does not take the report and names the one that is, as far as it
// knows. A nil answer: the report was not taken, and the age of it is not known.
func (a *ReportRouter) HandleMemberReport(now time.Time, r *wire.Report) (ack *wire.ReportAck, news bool) {
	if a.paused(now) {
		return nil, false
	}
	if len(r.Reports) != 1 || !a.serving(now) {
		return a.finish(&wire.ReportAck{Relay: a.other()}, r.KnownDigest), false
	}
	ack, news = a.relayer.HandleReport(now, r.Reports[0])
	if news {
		for _, l := range a.entries {
			l.news = true
		}
	}
	ack.Relay = a.self
	ack.Entries = a.reached()
	return a.finish(ack, r.KnownDigest), news
}

// other is the relay that entries name in place of this agent.
func (a *ReportRouter) other() wire.RelayInfo {
	if relay, ok := a.path.Relay(); ok {
		return relay
	}
	for _, addr := range slices.Sorted(maps.Keys(a.entries)) {
		if named := a.entries[addr].named; named.ID != a.self.ID && named.ID != "" {
			return named
		}
	}
	return wire.RelayInfo{}
}

// reached lists the entries that take this relay's reports now.
func (a *ReportRouter) reached() []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, addr := range slices.Sorted(maps.Keys(a.entries)) {
		if a.entries[addr].answered && a.reporter.Failures(addr) < coverFailures {
			out = append(out, wire.EntryInfo{Address: addr})
		}
	}
	return out
}

// finish sets the digest of what the member has to know, and leaves that out
// where it does.
func (a *ReportRouter) finish(ack *wire.ReportAck, known uint64) *wire.ReportAck {
	h := xxhash.New()
	_, _ = h.WriteString(ack.Relay.ID + "/" + ack.Relay.Address)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, ack.Relay.Incarnation))
	for _, e := range ack.Entries {
		_, _ = h.WriteString("/" + e.Address)
	}
	ack.Digest = h.Sum64()
	if ack.Digest == known {
		ack.Entries, ack.Relay = nil, wire.RelayInfo{}
	}
	return ack
}

// Tick drops members that have not reported for long. Send one about every
// second.
func (a *ReportRouter) Tick(now time.Time) {
	a.paused(now)
	a.ticked = now
	a.relayer.Tick(now)
}

// paused says whether this process stood still a moment ago. The reports that it
// then finds in its sockets count as heard when it takes them, so a relay that
// was frozen for a minute would make members that died meanwhile look alive.
// It shows as a Tick that is overdue, to whoever of Tick and Serve runs first.
func (a *ReportRouter) paused(now time.Time) bool {
	if !a.ticked.IsZero() && now.Sub(a.ticked) > pausedAfter {
		a.pausedAt = now
		a.ticked = now
	}
	return !a.pausedAt.IsZero() && now.Sub(a.pausedAt) < pausedFor
}

const (
	// pausedAfter: a Tick that is so late was kept by a pause of the process.
	pausedAfter = 3 * time.Second
	// pausedFor is how long reports are refused then. What was queued is read by
	// that time.
	pausedFor = time.Second
)

// Members returns the agents that report by this one. They are shared: don't
// change them.
func (a *ReportRouter) Members() []*Member { return a.relayer.Members() }
