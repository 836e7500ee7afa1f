package membership

import (
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Table holds the members. All methods must be called by one goroutine, except Snapshot,
// which is safe for concurrent use.
type Table struct {
	cfg           Config
	records       map[string]*record
	directMembers int // members whose record has direct set
	version       uint64
	refused       uint64
	admission     admissionLimiter
	actions       []Action
	dirty         map[string]map[string]bool // by service, the IDs whose member changed
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

// Step processes one event and returns the resulting actions. now must not go back.
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

// handleReports tells the sender the reporting period, unless a report was refused:
// then the actions already contain the time to return.
func (t *Table) handleReports(now time.Time, ev Reports) {
	refused := t.refused
	for i := range ev.Batch {
		t.ingest(now, &ev.Batch[i], ev.Relayed)
	}
	if !ev.Relayed && t.refused == refused {
		t.emit(NextReport{After: t.reportPeriod()})
	}
}

// Refusals returns the number of reports refused so far.
func (t *Table) Refusals() uint64 { return t.refused }

// LastContact returns when a member was last in contact, and false if there is no such member.
func (t *Table) LastContact(id string) (time.Time, bool) {
	r := t.records[id]
	if r == nil || r.member == nil {
		return time.Time{}, false
	}
	return r.lastContact, true
}

// Len returns the number of records, including those of lost members.
func (t *Table) Len() int { return len(t.records) }

// reportPeriod returns the reporting period that keeps all direct members together
// below ReportsPerSecond.
func (t *Table) reportPeriod() time.Duration {
	needed := time.Duration(float64(t.directMembers) / t.cfg.ReportsPerSecond * float64(time.Second))
	return max(t.cfg.ReportPeriod, needed)
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// setMember replaces a record's member and marks its services for the next snapshot.
// Nothing else changes the member.
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

// removeMember removes the member; the record remains until ForgetAfter.
func (t *Table) removeMember(r *record, now time.Time) *Member {
	m := r.member
	t.setMember(r, nil)
	r.goneSince = now
	t.publishNow = true
	return m
}

// handleDraining makes a member unschedulable. It is processed like a report without
// content, so that it also counts for an agent that becomes known only later, by a
// report that it overtook. Its age keeps it from counting as contact.
func (t *Table) handleDraining(now time.Time, d Draining) {
	report := wire.AgentReport{
		ID:          d.ID,
		Incarnation: d.Incarnation,
		Age:         t.cfg.LostAfter,
		Draining:    true,
	}
	t.ingest(now, &report, true)
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
