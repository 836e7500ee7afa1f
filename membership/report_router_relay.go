package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// maxUnansweredReports is how many reports in a row an entry may leave unanswered
// before the relay stops saying that its members' reports get there.
const maxUnansweredReports = 2

// updateRelay takes an entry's word on the relay of the rack.
func (r *ReportRouter) updateRelay(now time.Time, relay wire.RelayInfo) {
	if r.isRelay(now) {
		r.leaveRelay()
		return
	}
	if !r.draining {
		r.route.OfferRelay(now, relay)
	}
}

func (r *ReportRouter) leaveRelay() {
	if relay, ok := r.route.Relay(); ok {
		r.reporter.Forget(relay.ID)
		r.route.Clear()
	}
}

// isRelay says whether this agent is the relay. One entry's word is enough:
// entries that don't know the same agents name different ones for a while, and
// each of those may serve. Entries that name none are those that have just
// started: a relay goes on for servingAfter, or a restart of the entries would
// bring them the reports of every single agent in their first moments.
func (r *ReportRouter) isRelay(now time.Time) bool {
	if r.draining {
		return false
	}
	otherNamed := false
	for _, l := range r.entries {
		if !l.viaRelay && l.relay == r.self {
			return true
		}
		otherNamed = otherNamed || l.relay.ID != ""
	}
	return !otherNamed && !r.namedRelayAt.IsZero() && now.Sub(r.namedRelayAt) < relayRoleTimeout
}

// relayRoleTimeout is how long an agent stays relay after the last entry's word.
const relayRoleTimeout = 30 * time.Second

// hasMembers says whether there is something to relay.
func (r *ReportRouter) hasMembers() bool { return r.relayer.table.Len() > 0 }

// Relay returns the relay that the agent reports to now; false: there is none.
func (r *ReportRouter) Relay() (wire.RelayInfo, bool) { return r.route.Relay() }

// RelayDue returns when to report to the relay next; false: there is none.
func (r *ReportRouter) RelayDue(now time.Time) (time.Time, bool) {
	relay, ok := r.route.Relay()
	if !ok {
		return time.Time{}, false
	}
	return earlierOf(r.reporter.Due(now, relay.ID), r.toRelay.sentAt.Add(RelayHeartbeat)), true
}

// ReportToRelay returns what to send to the relay now. Follow it with RelayAcked
// or RelayFailed.
func (r *ReportRouter) ReportToRelay(now time.Time) *wire.Report {
	relay, _ := r.route.Relay()
	report := r.reporter.Report(now, relay.ID)
	r.toRelay = relayLink{sentAt: now, sequence: report.Sequence}
	return &wire.Report{Batch: []wire.AgentReport{report}, Known: r.route.Digest()}
}

// HandleRelayAck takes the answer of the relay to the last report. It returns the
// addresses of entries that the answer names and that are new.
func (r *ReportRouter) HandleRelayAck(now time.Time, from wire.RelayInfo, ack *wire.ReportAck) []string {
	if relay, ok := r.route.Relay(); !ok || relay != from {
		return nil // left meanwhile
	}
	r.reporter.HandleAck(now, from.ID, r.toRelay.sequence, ack)
	r.route.HandleAck(now, r.toRelay.sentAt, ack)
	if relay, _ := r.route.Relay(); relay != from {
		r.reporter.Forget(from.ID)
		return nil
	}
	return r.addEntries(ack.Entries)
}

// HandleRelayFailure notes that the relay did not answer, or refused the report: the
// agent reports by itself again.
func (r *ReportRouter) HandleRelayFailure(now time.Time, from wire.RelayInfo) {
	if relay, ok := r.route.Relay(); !ok || relay != from {
		return
	}
	r.reporter.Forget(from.ID)
	r.route.HandleFailure(now)
}

// HandleMemberReport answers a report that another agent sent to this one as its relay. news
// says that entries should hear of it at once. An agent that is not the relay
// (any more) does not take the report and names the one that is, as far as it
// knows. A nil answer: the report was not taken, and the age of it is not known.
func (r *ReportRouter) HandleMemberReport(now time.Time, report *wire.Report) (ack *wire.ReportAck, news bool) {
	if r.recentlyPaused(now) {
		return nil, false
	}
	if len(report.Batch) != 1 || !r.isRelay(now) {
		return r.setDigest(&wire.ReportAck{Relay: r.otherRelay()}, report.Known), false
	}
	ack, news = r.relayer.HandleReport(now, report.Batch[0])
	if news {
		for _, l := range r.entries {
			l.memberNews = true
		}
	}
	ack.Relay = r.self
	ack.Entries = r.reachableEntries()
	return r.setDigest(ack, report.Known), news
}

// otherRelay is the relay that entries name in place of this agent.
func (r *ReportRouter) otherRelay() wire.RelayInfo {
	if relay, ok := r.route.Relay(); ok {
		return relay
	}
	for _, addr := range slices.Sorted(maps.Keys(r.entries)) {
		if named := r.entries[addr].relay; named.ID != r.self.ID && named.ID != "" {
			return named
		}
	}
	return wire.RelayInfo{}
}

// reachableEntries lists the entries that take this relay's reports now.
func (r *ReportRouter) reachableEntries() []wire.EntryInfo {
	var entries []wire.EntryInfo
	for _, addr := range slices.Sorted(maps.Keys(r.entries)) {
		if r.entries[addr].answered && r.reporter.Failures(addr) < maxUnansweredReports {
			entries = append(entries, wire.EntryInfo{Address: addr})
		}
	}
	return entries
}

// setDigest sets the digest of what the member has to know, and leaves that out
// where it does.
func (r *ReportRouter) setDigest(ack *wire.ReportAck, knownDigest uint64) *wire.ReportAck {
	h := xxhash.New()
	_, _ = h.WriteString(ack.Relay.ID + "/" + ack.Relay.Address)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, ack.Relay.Incarnation))
	for _, e := range ack.Entries {
		_, _ = h.WriteString("/" + e.Address)
	}
	ack.Digest = h.Sum64()
	if ack.Digest == knownDigest {
		ack.Entries, ack.Relay = nil, wire.RelayInfo{}
	}
	return ack
}

// Tick drops members that have not reported for long. Send one about every
// second.
func (r *ReportRouter) Tick(now time.Time) {
	r.recentlyPaused(now)
	r.lastTick = now
	r.relayer.Tick(now)
}

// recentlyPaused says whether this process stood still a moment ago. The reports that it
// then finds in its sockets count as heard when it takes them, so a relay that
// was frozen for a minute would make members that died meanwhile look alive.
// It shows as a Tick that is overdue, to whoever of Tick and Serve runs first.
func (r *ReportRouter) recentlyPaused(now time.Time) bool {
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > pauseThreshold {
		r.pauseDetectedAt = now
		r.lastTick = now
	}
	return !r.pauseDetectedAt.IsZero() && now.Sub(r.pauseDetectedAt) < pauseRefusalPeriod
}

const (
	// pauseThreshold: a Tick that is so late was kept by a pause of the process.
	pauseThreshold = 3 * time.Second
	// pauseRefusalPeriod is how long reports are refused then. What was queued is read by
	// that time.
	pauseRefusalPeriod = time.Second
)

// Members returns the agents that report by this one. They are shared: don't
// change them.
func (r *ReportRouter) Members() []*Member { return r.relayer.Members() }
