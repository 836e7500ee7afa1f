package membership

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// gangSilence: a gang's member that no entry with the planner duty has answered
// for so long reports to all entries itself, so that a new planner hears of it as
// soon as it plans.
const gangSilence = 2500 * time.Millisecond

// ReportRouter decides when an agent reports to whom and what: to each entry by
// itself, or to the relay of its rack, and as a relay for others. One goroutine
// owns it, or its owner locks it; now must not go back, and should run on during
// suspension. There is at most one report under way to each entry and to the
// relay.
type ReportRouter struct {
	cfg      ReportRouterConfig
	self     wire.RelayInfo
	draining bool
	inGang   bool
	stamp    gang.PlannerTimestamp
	planned  time.Time // when an entry with the planner duty last answered
	reporter *Reporter
	path     *RelayRoute
	relayer  *Relayer
	entries  map[string]*entryLink
	toRelay  relayLink
	served   time.Time // when an entry last named this agent as relay
	ticked   time.Time
	pausedAt time.Time
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
		path:     NewRelayRoute(state.ID),
		relayer:  NewRelayer(),
		entries:  make(map[string]*entryLink),
	}
}

// AddEntry begins reports to an entry. False: it is known, or there are too many.
func (a *ReportRouter) AddEntry(addr string) bool {
	if a.entries[addr] != nil || len(a.entries) >= a.cfg.MaxEntries {
		return false
	}
	a.entries[addr] = &entryLink{}
	return true
}

// RemoveEntry ends reports to an entry.
func (a *ReportRouter) RemoveEntry(addr string) {
	if l := a.entries[addr]; l != nil && l.planner {
		a.planned = time.Time{}
	}
	delete(a.entries, addr)
	a.reporter.Forget(addr)
	a.relayer.Forget(addr)
}

// SetState takes the agent's whole state.
func (a *ReportRouter) SetState(now time.Time, state wire.AgentReport) {
	a.draining = a.draining || state.Draining
	a.inGang = slices.ContainsFunc(state.Tasks, func(t gang.Task) bool {
		return t.Members > 1 && t.State == gang.StateRunning
	})
	a.reporter.SetState(now, state)
}

// SetTimestamp takes the stamp that the next reports return.
func (a *ReportRouter) SetTimestamp(s gang.PlannerTimestamp) { a.stamp = s }

// Due returns when to report to the entry, or to ask again because the relay's
// word ends then.
func (a *ReportRouter) Due(now time.Time, addr string) time.Time {
	l := a.entries[addr]
	if a.byRelay(now, addr) {
		a.cover(now, addr)
		if a.inGang {
			return earlier(a.path.ValidUntil(), now.Add(a.cfg.GangReportPeriod)) // for gangSilence
		}
		return a.path.ValidUntil()
	}
	l.covered = false
	due := a.reporter.Due(now, addr)
	if a.inGang {
		due = earlier(due, l.sent.Add(a.cfg.GangReportPeriod))
	}
	if a.relays() {
		due = earlier(due, l.sent.Add(RelayPeriod))
		due = earlier(due, a.batchDue(addr, l, due))
	}
	return due
}

// byRelay says whether the agent leaves its reports to an entry to its relay.
//
// One that drains reports itself: the news must not be lost with a relay that
// dies in that moment. So does a member of a gang to the entry that plans:
// its gang runs on by the evidence of its reports, whose age a relay would add
// to, and stops when a relay dies for as long as that goes unnoticed.
func (a *ReportRouter) byRelay(now time.Time, addr string) bool {
	if a.draining || !a.path.ForwardsTo(now, addr) {
		return false
	}
	return !a.inGang || (!a.entries[addr].planner && now.Sub(a.planned) <= gangSilence)
}

// cover notes that reports to the entry go by the relay from now on. What the
// entry has is not followed any more, so the next own report is a full one, due
// at once.
func (a *ReportRouter) cover(now time.Time, addr string) {
	l := a.entries[addr]
	if l.covered {
		return
	}
	a.notePlanner(now, l, false) // or a gang that starts now would wait for gangSilence
	*l = entryLink{covered: true, since: now}
	a.reporter.Forget(addr)
	a.relayer.Forget(addr)
}

// batchDue is when the entry has to hear news of members, or a full report of
// one that it asked for. An entry that does not answer is not asked more often
// for that.
func (a *ReportRouter) batchDue(addr string, l *entryLink, due time.Time) time.Time {
	if a.reporter.Failures(addr) > 0 {
		return due
	}
	soon := l.sent.Add(a.cfg.Coalesce)
	if l.news {
		return soon
	}
	if at, ok := a.relayer.FullReportDue(addr); ok {
		return laterOf(at, soon)
	}
	return due
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Report returns what to send to the entry now. Follow it with Acked or Failed.
func (a *ReportRouter) Report(now time.Time, addr string) *wire.Report {
	l := a.entries[addr]
	own := a.reporter.Report(now, addr)
	own.PlannerTimestamp = a.stamp
	l.sent, l.sequence, l.news = now, own.Sequence, false
	l.batch = nil
	if a.relays() {
		l.batch, l.cursor = a.relayer.Batch(now, addr)
	}
	return &wire.Report{Reports: append([]wire.AgentReport{own}, l.batch...), KnownDigest: l.known}
}

// HandleAck takes the entry's answer to the last report. It returns the addresses of
// entries that the answer names and that are new.
func (a *ReportRouter) HandleAck(now time.Time, addr string, ack *wire.ReportAck) []string {
	l := a.entries[addr]
	l.answered = true
	a.reporter.HandleAck(now, addr, l.sequence, ack)
	if a.relays() {
		a.relayer.HandleAck(now, addr, l.batch, l.cursor, ack)
	}
	a.notePlanner(now, l, ack.PlannerTimestamp.Epoch != 0)
	fresh := ack.Digest != l.known
	if fresh {
		l.known, l.named = ack.Digest, ack.Relay
	}
	if l.named == a.self {
		a.served = now
	}
	a.follow(now, l.named)
	if !fresh {
		return nil
	}
	return a.learn(ack.Entries)
}

// notePlanner: when the entry that planned does not any more, the member of a
// gang has to find the next one at once.
func (a *ReportRouter) notePlanner(now time.Time, l *entryLink, plans bool) {
	if plans {
		a.planned = now
	} else if l.planner {
		a.planned = time.Time{}
	}
	l.planner = plans
}

func (a *ReportRouter) learn(entries []wire.EntryInfo) []string {
	var added []string
	for _, e := range entries {
		if a.AddEntry(e.Address) {
			added = append(added, e.Address)
		}
	}
	return added
}

// HandleFailure notes that the entry did not answer the last report. It returns how
// many it left unanswered in a row.
func (a *ReportRouter) HandleFailure(now time.Time, addr string) int {
	a.notePlanner(now, a.entries[addr], false)
	a.reporter.HandleFailure(now, addr)
	return a.reporter.Failures(addr)
}

// ConnectionIdle says, once, that the connection to the entry has had no use for some
// time: reports go by the relay.
func (a *ReportRouter) ConnectionIdle(now time.Time, addr string) bool {
	l := a.entries[addr]
	if !l.covered || l.closed || now.Sub(l.since) < linkUnused {
		return false
	}
	l.closed = true
	return true
}

// linkUnused is how long the connection to an entry stays open after the last
// own report: a relay that is taken on and fails at once costs no new handshake.
const linkUnused = 10 * time.Second

// DepartureReport returns the report of the agent's end.
func (a *ReportRouter) DepartureReport() *wire.Report {
	return &wire.Report{Reports: []wire.AgentReport{a.reporter.DepartureReport()}}
}
