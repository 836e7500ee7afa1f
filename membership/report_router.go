package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// plannerAnswerTimeout is how long the member of a gang waits for an answer of an entry
// with planner leadership. After that it reports to all entries itself, so that a new
// planner receives its reports as soon as it plans.
const plannerAnswerTimeout = 2500 * time.Millisecond

// ReportRouter decides when an agent reports, what, and by which way: to each entry
// directly or to the relay of its rack. As a relay it also forwards the reports of
// other agents. It is not safe for concurrent use. Times passed to it must not go back
// and should come from a clock that advances during suspension. At most one report is
// in flight to each entry and to the relay.
type ReportRouter struct {
	cfg               ReportRouterConfig
	self              wire.RelayInfo
	draining          bool
	drainingSince     time.Time
	inGang            bool
	timestamp         gang.PlannerTimestamp
	plannerAnsweredAt time.Time // when an entry with planner leadership last answered
	reporter          *Reporter
	route             *RelayRoute
	relayer           *Relayer
	entries           map[string]*entryLink
	toRelay           relayLink
	namedRelayAt      time.Time // when an entry last named this agent as relay
	lastTick          time.Time
	pauseDetectedAt   time.Time
}

// ReportRouterConfig configures a ReportRouter.
type ReportRouterConfig struct {
	ReporterConfig
	// GangReportPeriod is the longest period of an agent's own reports while a task
	// with several members runs there.
	GangReportPeriod time.Duration
	// MaxEntries bounds the number of entries to report to.
	MaxEntries int
}

// NewReportRouter returns a ReportRouter without entries for the agent that state
// describes. random returns numbers in [0, 1).
func NewReportRouter(cfg ReportRouterConfig, state wire.AgentReport, random func() float64) *ReportRouter {
	cfg.ReporterConfig = cfg.withDefaults()
	return &ReportRouter{
		cfg:      cfg,
		self:     RelayOf(&state),
		reporter: NewReporter(cfg.ReporterConfig, state, random),
		route:    NewRelayRoute(state.ID),
		relayer:  NewRelayer(),
		entries:  make(map[string]*entryLink),
	}
}

// AddEntry starts reports to an entry. It returns false if the entry is known already
// or there are too many.
func (r *ReportRouter) AddEntry(addr string) bool {
	if r.entries[addr] != nil || len(r.entries) >= r.cfg.MaxEntries {
		return false
	}
	r.entries[addr] = &entryLink{}
	return true
}

// RemoveEntry ends reports to an entry.
func (r *ReportRouter) RemoveEntry(addr string) {
	if l := r.entries[addr]; l != nil && l.isPlanner {
		r.plannerAnsweredAt = time.Time{}
	}
	delete(r.entries, addr)
	r.reporter.RemoveReceiver(addr)
	r.relayer.RemoveEntry(addr)
}

// SetState sets the agent's whole state.
func (r *ReportRouter) SetState(now time.Time, state wire.AgentReport) {
	if state.Draining && !r.draining {
		r.draining, r.drainingSince = true, now
	}
	r.inGang = slices.ContainsFunc(state.Tasks, func(t gang.Task) bool {
		return t.Members > 1 && t.State == gang.StateRunning
	})
	r.reporter.SetState(now, state)
}

// SetTimestamp sets the planner's timestamp that the next reports return.
func (r *ReportRouter) SetTimestamp(s gang.PlannerTimestamp) { r.timestamp = s }

// Due returns when to report to the entry. While the relay covers the entry, it returns
// when to call Due again, at the latest when the relay's answer expires.
func (r *ReportRouter) Due(now time.Time, addr string) time.Time {
	l := r.entries[addr]
	if r.reportsViaRelay(now, addr) {
		r.switchToRelay(now, addr)
		if r.inGang {
			return earlierOf(r.route.ValidUntil(), now.Add(r.cfg.GangReportPeriod)) // so that plannerAnswerTimeout is noticed
		}
		return r.route.ValidUntil()
	}
	l.viaRelay = false
	due := r.reporter.Due(now, addr)
	if r.inGang {
		due = earlierOf(due, l.sentAt.Add(r.cfg.GangReportPeriod))
	}
	if r.draining && now.Sub(r.drainingSince) < relayMemberTimeout+MaxReportDelay {
		due = earlierOf(due, l.sentAt.Add(drainingReportPeriod))
	}
	if r.hasMembers() {
		due = earlierOf(due, l.sentAt.Add(RelayPeriod))
		due = earlierOf(due, r.batchReportDue(addr, l, due))
	}
	return due
}

// reportsViaRelay reports whether the agent's reports reach an entry through its relay.
// A draining agent reports directly, so that the change is not lost if the relay dies. So
// does a member of a gang to the entry with planner leadership: the planner keeps the
// gang running only while its members' reports are recent, and a relay delays them.
func (r *ReportRouter) reportsViaRelay(now time.Time, addr string) bool {
	if r.draining || !r.route.ForwardsTo(now, addr) {
		return false
	}
	return !r.inGang || (!r.entries[addr].isPlanner && now.Sub(r.plannerAnsweredAt) <= plannerAnswerTimeout)
}

// switchToRelay records that reports to the entry go through the relay from now on.
// What the entry knows is no longer tracked, so the next direct report is a full one,
// due at once.
func (r *ReportRouter) switchToRelay(now time.Time, addr string) {
	l := r.entries[addr]
	if l.viaRelay {
		return
	}
	r.notePlanner(now, l, false) // otherwise a gang that starts now would wait for plannerAnswerTimeout
	*l = entryLink{viaRelay: true, viaRelaySince: now}
	r.reporter.RemoveReceiver(addr)
	r.relayer.RemoveEntry(addr)
}

// batchReportDue returns when the entry must receive changes of members, or a full
// report that it requested. An entry that does not answer is not sent more reports for
// that.
func (r *ReportRouter) batchReportDue(addr string, l *entryLink, due time.Time) time.Time {
	if r.reporter.Failures(addr) > 0 {
		return due
	}
	earliest := l.sentAt.Add(r.cfg.Coalesce)
	if l.urgentChanges {
		return earliest
	}
	if at, ok := r.relayer.FullReportDue(addr); ok {
		return laterOf(at, earliest)
	}
	return due
}

// drainingReportPeriod is the longest period of the reports of an agent that has just begun
// to drain. A relay that it has left may tell its earlier state to an entry that has just
// started, until it drops the agent.
const drainingReportPeriod = 2 * time.Second

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Report returns the report to send to the entry now. The caller must pass the outcome
// to HandleAck or HandleFailure.
func (r *ReportRouter) Report(now time.Time, addr string) *wire.Report {
	l := r.entries[addr]
	report := r.reporter.Report(now, addr)
	report.PlannerTimestamp = r.timestamp
	l.sentAt, l.sequence, l.urgentChanges = now, report.Sequence, false
	l.batch = nil
	if r.hasMembers() {
		l.batch, l.cursor = r.relayer.Batch(now, addr)
	}
	return &wire.Report{Reports: append([]wire.AgentReport{report}, l.batch...), KnownDigest: l.digest}
}

// HandleAck processes the entry's answer to the last report. It returns the addresses
// of the new entries that the answer names.
func (r *ReportRouter) HandleAck(now time.Time, addr string, ack *wire.ReportAck) []string {
	l := r.entries[addr]
	l.answered = true
	r.reporter.HandleAck(now, addr, l.sequence, ack)
	if r.hasMembers() {
		r.relayer.HandleAck(now, addr, l.batch, l.cursor, ack)
	}
	r.notePlanner(now, l, ack.PlannerTimestamp.Epoch != 0)
	changed := ack.Digest != l.digest
	if changed {
		l.digest, l.relay = ack.Digest, ack.Relay
	}
	if l.relay == r.self {
		r.namedRelayAt = now
	}
	r.updateRelay(now, l.relay)
	if !changed {
		return nil
	}
	return r.addEntries(ack.Entries)
}

// notePlanner records whether the entry has planner leadership. When the entry loses it,
// the member of a gang reports to all entries directly, to reach the next planner.
func (r *ReportRouter) notePlanner(now time.Time, l *entryLink, isPlanner bool) {
	if isPlanner {
		r.plannerAnsweredAt = now
	} else if l.isPlanner {
		r.plannerAnsweredAt = time.Time{}
	}
	l.isPlanner = isPlanner
}

func (r *ReportRouter) addEntries(entries []wire.EntryInfo) []string {
	var added []string
	for _, e := range entries {
		if r.AddEntry(e.Address) {
			added = append(added, e.Address)
		}
	}
	return added
}

// HandleFailure records that the entry did not answer the last report. It returns the
// number of consecutive reports left unanswered.
func (r *ReportRouter) HandleFailure(now time.Time, addr string) int {
	r.notePlanner(now, r.entries[addr], false)
	r.reporter.HandleFailure(now, addr)
	return r.reporter.Failures(addr)
}

// ConnectionIdle reports, once, that the connection to the entry has not been used for
// idleConnectionTimeout because reports go through the relay.
func (r *ReportRouter) ConnectionIdle(now time.Time, addr string) bool {
	l := r.entries[addr]
	if !l.viaRelay || l.idleReported || now.Sub(l.viaRelaySince) < idleConnectionTimeout {
		return false
	}
	l.idleReported = true
	return true
}

// idleConnectionTimeout is how long the connection to an entry stays open after the
// last direct report, so that a new relay that fails at once does not cost a new
// handshake.
const idleConnectionTimeout = 10 * time.Second

// DepartureReport returns the departure notice that the agent sends when it stops.
func (r *ReportRouter) DepartureReport() *wire.Report {
	return &wire.Report{Reports: []wire.AgentReport{r.reporter.DepartureReport()}}
}
