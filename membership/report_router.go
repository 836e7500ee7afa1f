package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// plannerAnswerTimeout: a gang's member that no entry with the planner duty has answered
// for so long reports to all entries itself, so that a new planner hears of it as
// soon as it plans.
const plannerAnswerTimeout = 2500 * time.Millisecond

// ReportRouter decides when an agent reports to whom and what: to each entry by
// itself, or to the relay of its rack, and as a relay for others. One goroutine
// owns it, or its owner locks it; now must not go back, and should run on during
// suspension. There is at most one report under way to each entry and to the
// relay.
type ReportRouter struct {
	cfg               ReportRouterConfig
	self              wire.RelayInfo
	draining          bool
	inGang            bool
	timestamp         gang.PlannerTimestamp
	plannerAnsweredAt time.Time // when an entry with the planner duty last answered
	reporter          *Reporter
	route             *RelayRoute
	relayer           *Relayer
	entries           map[string]*entryLink
	toRelay           relayLink
	namedRelayAt      time.Time // when an entry last named this agent as relay
	lastTick          time.Time
	pauseDetectedAt   time.Time
}

// ReportRouterConfig holds an Announcer's settings.
type ReportRouterConfig struct {
	ReporterConfig
	// GangReportPeriod is the longest period of an agent's own reports while a task of
	// several members runs there.
	GangReportPeriod time.Duration
	// MaxEntries bounds the entries that are reported to.
	MaxEntries int
}

// NewReportRouter returns one for the agent that state describes, without entries.
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

// AddEntry begins reports to an entry. False: it is known, or there are too many.
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
	r.reporter.Forget(addr)
	r.relayer.Forget(addr)
}

// SetState takes the agent's whole state.
func (r *ReportRouter) SetState(now time.Time, state wire.AgentReport) {
	r.draining = r.draining || state.Draining
	r.inGang = slices.ContainsFunc(state.Tasks, func(t gang.Task) bool {
		return t.Members > 1 && t.State == gang.StateRunning
	})
	r.reporter.SetState(now, state)
}

// SetTimestamp takes the stamp that the next reports return.
func (r *ReportRouter) SetTimestamp(s gang.PlannerTimestamp) { r.timestamp = s }

// Due returns when to report to the entry, or to ask again because the relay's
// word ends then.
func (r *ReportRouter) Due(now time.Time, addr string) time.Time {
	l := r.entries[addr]
	if r.reportsViaRelay(now, addr) {
		r.switchToRelay(now, addr)
		if r.inGang {
			return earlierOf(r.route.ValidUntil(), now.Add(r.cfg.GangReportPeriod)) // for gangSilence
		}
		return r.route.ValidUntil()
	}
	l.viaRelay = false
	due := r.reporter.Due(now, addr)
	if r.inGang {
		due = earlierOf(due, l.sentAt.Add(r.cfg.GangReportPeriod))
	}
	if r.hasMembers() {
		due = earlierOf(due, l.sentAt.Add(RelayPeriod))
		due = earlierOf(due, r.batchReportDue(addr, l, due))
	}
	return due
}

// reportsViaRelay says whether the agent leaves its reports to an entry to its relay.
//
// One that drains reports itself: the news must not be lost with a relay that
// dies in that moment. So does a member of a gang to the entry that plans:
// its gang runs on by the evidence of its reports, whose age a relay would add
// to, and stops when a relay dies for as long as that goes unnoticed.
func (r *ReportRouter) reportsViaRelay(now time.Time, addr string) bool {
	if r.draining || !r.route.ForwardsTo(now, addr) {
		return false
	}
	return !r.inGang || (!r.entries[addr].isPlanner && now.Sub(r.plannerAnsweredAt) <= plannerAnswerTimeout)
}

// switchToRelay notes that reports to the entry go by the relay from now on. What the
// entry has is not followed any more, so the next own report is a full one, due
// at once.
func (r *ReportRouter) switchToRelay(now time.Time, addr string) {
	l := r.entries[addr]
	if l.viaRelay {
		return
	}
	r.notePlanner(now, l, false) // or a gang that starts now would wait for gangSilence
	*l = entryLink{viaRelay: true, viaRelaySince: now}
	r.reporter.Forget(addr)
	r.relayer.Forget(addr)
}

// batchReportDue is when the entry has to hear news of members, or a full report of
// one that it asked for. An entry that does not answer is not asked more often
// for that.
func (r *ReportRouter) batchReportDue(addr string, l *entryLink, due time.Time) time.Time {
	if r.reporter.Failures(addr) > 0 {
		return due
	}
	earliest := l.sentAt.Add(r.cfg.Coalesce)
	if l.memberNews {
		return earliest
	}
	if at, ok := r.relayer.FullReportDue(addr); ok {
		return laterOf(at, earliest)
	}
	return due
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Report returns what to send to the entry now. Follow it with Acked or Failed.
func (r *ReportRouter) Report(now time.Time, addr string) *wire.Report {
	l := r.entries[addr]
	report := r.reporter.Report(now, addr)
	report.Stamp = r.timestamp
	l.sentAt, l.sequence, l.memberNews = now, report.Sequence, false
	l.batch = nil
	if r.hasMembers() {
		l.batch, l.cursor = r.relayer.Batch(now, addr)
	}
	return &wire.Report{Batch: append([]wire.AgentReport{report}, l.batch...), Known: l.digest}
}

// HandleAck takes the entry's answer to the last report. It returns the addresses of
// entries that the answer names and that are new.
func (r *ReportRouter) HandleAck(now time.Time, addr string, ack *wire.ReportAck) []string {
	l := r.entries[addr]
	l.answered = true
	r.reporter.HandleAck(now, addr, l.sequence, ack)
	if r.hasMembers() {
		r.relayer.HandleAck(now, addr, l.batch, l.cursor, ack)
	}
	r.notePlanner(now, l, ack.Stamp.Epoch != 0)
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

// notePlanner: when the entry that planned does not any more, the member of a
// gang has to find the next one at once.
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

// HandleFailure notes that the entry did not answer the last report. It returns how
// many it left unanswered in a row.
func (r *ReportRouter) HandleFailure(now time.Time, addr string) int {
	r.notePlanner(now, r.entries[addr], false)
	r.reporter.HandleFailure(now, addr)
	return r.reporter.Failures(addr)
}

// ConnectionIdle says, once, that the connection to the entry has had no use for some
// time: reports go by the relay.
func (r *ReportRouter) ConnectionIdle(now time.Time, addr string) bool {
	l := r.entries[addr]
	if !l.viaRelay || l.idleReported || now.Sub(l.viaRelaySince) < idleConnectionTimeout {
		return false
	}
	l.idleReported = true
	return true
}

// idleConnectionTimeout is how long the connection to an entry stays open after the last
// own report: a relay that is taken on and fails at once costs no new handshake.
const idleConnectionTimeout = 10 * time.Second

// DepartureReport returns the report of the agent's end.
func (r *ReportRouter) DepartureReport() *wire.Report {
	return &wire.Report{Batch: []wire.AgentReport{r.reporter.DepartureReport()}}
}
