package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// maxUnansweredReports is the number of consecutive unanswered reports at which the
// relay no longer claims to reach an entry.
const maxUnansweredReports = 2

// updateRelay handles the relay of the rack that an entry named.
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
		r.reporter.RemoveReceiver(relay.ID)
		r.route.Clear()
	}
}

// isRelay reports whether this agent is the relay. It is enough that one entry names
// it: entries that know different agents name different relays for a while, and each of
// those may be one. Entries that name none have just started. A relay continues without
// being named for relayRoleTimeout, so that restarted entries do not receive the
// reports of every single agent at first.
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

// relayRoleTimeout is how long an agent remains the relay after an entry last named it.
const relayRoleTimeout = 30 * time.Second

// hasMembers reports whether there are members to relay for.
func (r *ReportRouter) hasMembers() bool { return r.relayer.table.Len() > 0 }

// Relay returns the relay that the agent reports to now, and false if there is none.
func (r *ReportRouter) Relay() (wire.RelayInfo, bool) { return r.route.Relay() }

// RelayDue returns when to report to the relay next, and false if there is none.
func (r *ReportRouter) RelayDue(now time.Time) (time.Time, bool) {
	relay, ok := r.route.Relay()
	if !ok {
		return time.Time{}, false
	}
	return earlierOf(r.reporter.Due(now, relay.ID), r.toRelay.sentAt.Add(RelayHeartbeat)), true
}

// ReportToRelay returns the report to send to the relay now. The caller must pass the
// outcome to HandleRelayAck or HandleRelayFailure.
func (r *ReportRouter) ReportToRelay(now time.Time) *wire.Report {
	relay, _ := r.route.Relay()
	report := r.reporter.Report(now, relay.ID)
	r.toRelay = relayLink{sentAt: now, sequence: report.Sequence}
	return &wire.Report{Reports: []wire.AgentReport{report}, KnownDigest: r.route.Digest()}
}

// HandleRelayAck processes the relay's answer to the last report. It returns the
// addresses of the new entries that the answer names.
func (r *ReportRouter) HandleRelayAck(now time.Time, from wire.RelayInfo, ack *wire.ReportAck) []string {
	if relay, ok := r.route.Relay(); !ok || relay != from {
		return nil // the relay has changed since
	}
	r.reporter.HandleAck(now, from.ID, r.toRelay.sequence, ack)
	r.route.HandleAck(now, r.toRelay.sentAt, ack)
	if relay, _ := r.route.Relay(); relay != from {
		r.reporter.RemoveReceiver(from.ID)
		return nil
	}
	return r.addEntries(ack.Entries)
}

// HandleRelayFailure records that the relay did not answer, or refused the report. The
// agent reports directly again.
func (r *ReportRouter) HandleRelayFailure(now time.Time, from wire.RelayInfo) {
	if relay, ok := r.route.Relay(); !ok || relay != from {
		return
	}
	r.reporter.RemoveReceiver(from.ID)
	r.route.HandleFailure(now)
}

// HandleMemberReport answers a report that another agent sent to this one as its relay.
// urgent reports whether the entries must be informed at once. An agent that is not the
// relay does not accept the report and names the relay if it knows one. A nil answer
// means that the report was not accepted because its age is unknown.
func (r *ReportRouter) HandleMemberReport(now time.Time, report *wire.Report) (ack *wire.ReportAck, urgent bool) {
	if r.recentlyPaused(now) {
		return nil, false
	}
	if len(report.Reports) != 1 || !r.isRelay(now) {
		return r.setDigest(&wire.ReportAck{Relay: r.otherRelay()}, report.KnownDigest), false
	}
	ack, urgent = r.relayer.HandleReport(now, report.Reports[0])
	if urgent {
		for _, l := range r.entries {
			l.urgentChanges = true
		}
	}
	ack.Relay = r.self
	ack.Entries = r.reachableEntries()
	return r.setDigest(ack, report.KnownDigest), urgent
}

// otherRelay returns the relay that entries name in place of this agent.
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

// reachableEntries lists the entries that accept this relay's reports now.
func (r *ReportRouter) reachableEntries() []wire.EntryInfo {
	var entries []wire.EntryInfo
	for _, addr := range slices.Sorted(maps.Keys(r.entries)) {
		if r.entries[addr].answered && r.reporter.Failures(addr) < maxUnansweredReports {
			entries = append(entries, wire.EntryInfo{Address: addr})
		}
	}
	return entries
}

// setDigest sets the digest of the entries and the relay in ack, and omits both if the
// member knows them already.
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

// Tick drops members that have not reported for long. Call it about every second.
func (r *ReportRouter) Tick(now time.Time) {
	r.recentlyPaused(now)
	r.lastTick = now
	r.relayer.Tick(now)
}

// recentlyPaused reports whether this process was paused a moment ago. Reports that
// waited in its sockets would count as new when they are read, so a relay that was
// frozen for a minute would report members that died since as alive. The first call of
// Tick or HandleMemberReport after a pause detects it by the overdue Tick.
func (r *ReportRouter) recentlyPaused(now time.Time) bool {
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > pauseThreshold {
		r.pauseDetectedAt = now
		r.lastTick = now
	}
	return !r.pauseDetectedAt.IsZero() && now.Sub(r.pauseDetectedAt) < pauseRefusalPeriod
}

const (
	// pauseThreshold is the delay of a Tick from which the process counts as paused.
	pauseThreshold = 3 * time.Second
	// pauseRefusalPeriod is how long reports are refused after a pause; queued ones are
	// read by then.
	pauseRefusalPeriod = time.Second
)

// Members returns the agents that report to this one. They are shared and must not be
// modified.
func (r *ReportRouter) Members() []*Member { return r.relayer.Members() }
