package membership

import (
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Table holds the members. One goroutine owns it and calls Step, Relay and
// RelayFull; Snapshot is safe for concurrent use.
type Table struct {
	cfg           Config
	records       map[string]*record
	directMembers int // records with direct set and a member
	version       uint64
	refused       uint64
	admission     admissionLimiter
	actions       []Action
	dirty         map[string]map[string]bool // service to IDs whose member changed
	publishNow    bool
	lastPublish   time.Time
	snapshot      atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:       cfg,
		records:   map[string]*record{},
		admission: admissionLimiter{rate: cfg.JoinsPerSecond, burst: cfg.JoinBurst, tokens: cfg.JoinBurst},
		dirty:     map[string]map[string]bool{},
	}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Step takes one event and returns what changed. now must not go back.
func (t *Table) Step(now time.Time, ev Event) []Action {
	t.actions = nil
	t.version++
	switch ev := ev.(type) {
	case Reports:
		t.handleReports(now, ev)
	case Draining:
		t.handleDraining(now, ev)
	case Tick:
		t.checkTimeouts(now)
	}
	t.publish(now)
	return t.actions
}

// handleReports asks the sender to keep the reporting period, unless a report was
// shed: then the time to return is already among the actions.
func (t *Table) handleReports(now time.Time, ev Reports) {
	refused := t.refused
	for i := range ev.Batch {
		t.ingest(now, &ev.Batch[i], ev.Relayed)
	}
	if !ev.Relayed && t.refused == refused {
		t.emit(NextReport{After: t.reportPeriod()})
	}
}

// Refusals returns how many reports were shed so far.
func (t *Table) Refusals() uint64 { return t.refused }

// Len returns the number of records, those of lost members included.
func (t *Table) Len() int { return len(t.records) }

// reportPeriod is the reporting reportPeriod that keeps all direct members together below
// ReportsPerSecond.
func (t *Table) reportPeriod() time.Duration {
	needed := time.Duration(float64(t.directMembers) / t.cfg.ReportsPerSecond * float64(time.Second))
	return max(t.cfg.ReportPeriod, needed)
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// setMember replaces a record's member and marks its service for the next snapshot.
// It is the only place that changes member.
func (t *Table) setMember(r *record, m *Member) {
	if r.member != nil {
		t.markDirty(r.member.Report.Service, r.id)
		t.countDirect(r, -1)
	}
	r.member = m
	if m != nil {
		t.markDirty(m.Report.Service, r.id)
		t.countDirect(r, 1)
	}
}

func (t *Table) countDirect(r *record, n int) {
	if r.direct {
		t.directMembers += n
	}
}

func (t *Table) setDirect(r *record, direct bool) {
	if r.member != nil {
		t.countDirect(r, -1)
	}
	r.direct = direct
	if r.member != nil {
		t.countDirect(r, 1)
	}
}

func (t *Table) markDirty(service, id string) {
	ids := t.dirty[service]
	if ids == nil {
		ids = map[string]bool{}
		t.dirty[service] = ids
	}
	ids[id] = true
}

// removeMember takes the member out; the record stays until ForgetAfter.
func (t *Table) removeMember(r *record, now time.Time) *Member {
	m := r.member
	t.setMember(r, nil)
	r.goneSince = now
	t.publishNow = true
	return m
}

// handleDraining takes a member out of Offered, whatever else is known. It goes
// the way of a report without content, so that it also counts for an agent that
// becomes known only later, by a report that it overtook. Its age keeps it from
// counting as a sign of life.
func (t *Table) handleDraining(now time.Time, d Draining) {
	news := wire.AgentReport{
		ID:          d.ID,
		Incarnation: d.Incarnation,
		Age:         t.cfg.LostAfter,
		Draining:    true,
	}
	t.ingest(now, &news, true)
}

func (t *Table) markDraining(r *record) {
	if r.draining {
		return
	}
	r.draining = true
	r.markChanged(wire.ChangedDraining, t.version)
	if r.member == nil {
		return
	}
	m := r.member.with(func(m *Member) { m.Report.Draining = true })
	t.setMember(r, m)
	t.publishNow = true
	t.emit(Changed{Member: m, Groups: wire.ChangedDraining})
}
