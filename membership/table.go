package membership

import (
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Table holds the members. One goroutine owns it and calls Step, Relay and
// RelayFull; Snapshot is safe for concurrent use.
type Table struct {
	cfg      Config
	records  map[string]*record
	direct   int // records with direct set and a member
	version  uint64
	refused  uint64
	pace     pace
	out      []Action
	dirty    map[string]map[string]bool // service to IDs whose member changed
	urgent   bool
	lastPub  time.Time
	snapshot atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:     cfg,
		records: map[string]*record{},
		pace:    pace{rate: cfg.JoinsPerSecond, burst: cfg.JoinBurst, tokens: cfg.JoinBurst},
		dirty:   map[string]map[string]bool{},
	}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Step takes one event and returns what changed. now must not go back.
func (t *Table) Step(now time.Time, ev Event) []Action {
	t.out = nil
	t.version++
	switch ev := ev.(type) {
	case Reports:
		t.takeBatch(now, ev)
	case Draining:
		t.noteDraining(now, ev)
	case Tick:
		t.sweep(now)
	}
	t.publish(now)
	return t.out
}

// takeBatch asks the sender to keep the reporting period, unless a report was
// shed: then the time to return is already among the actions.
func (t *Table) takeBatch(now time.Time, ev Reports) {
	refused := t.refused
	for i := range ev.Batch {
		t.ingest(now, &ev.Batch[i], ev.Relayed)
	}
	if !ev.Relayed && t.refused == refused {
		t.emit(NextReport{After: t.period()})
	}
}

// Refusals returns how many reports were shed so far.
func (t *Table) Refusals() uint64 { return t.refused }

// Len returns the number of records, those of lost members included.
func (t *Table) Len() int { return len(t.records) }

// period is the reporting period that keeps all direct members together below
// ReportsPerSecond.
func (t *Table) period() time.Duration {
	needed := time.Duration(float64(t.direct) / t.cfg.ReportsPerSecond * float64(time.Second))
	return max(t.cfg.ReportPeriod, needed)
}

func (t *Table) emit(a Action) { t.out = append(t.out, a) }

// set replaces a record's member and marks its service for the next snapshot.
// It is the only place that changes member.
func (t *Table) set(r *record, m *Member) {
	if r.member != nil {
		t.mark(r.member.Report.Service, r.id)
		t.countDirect(r, -1)
	}
	r.member = m
	if m != nil {
		t.mark(m.Report.Service, r.id)
		t.countDirect(r, 1)
	}
}

func (t *Table) countDirect(r *record, n int) {
	if r.direct {
		t.direct += n
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

func (t *Table) mark(service, id string) {
	ids := t.dirty[service]
	if ids == nil {
		ids = map[string]bool{}
		t.dirty[service] = ids
	}
	ids[id] = true
}

// remove takes the member out; the record stays until ForgetAfter.
func (t *Table) remove(r *record, now time.Time) *Member {
	m := r.member
	t.set(r, nil)
	r.gone = now
	t.urgent = true
	return m
}

// noteDraining takes a member out of Offered, whatever else is known. It goes
// the way of a report without content, so that it also counts for an agent that
// becomes known only later, by a report that it overtook. Its age keeps it from
// counting as a sign of life.
func (t *Table) noteDraining(now time.Time, d Draining) {
	news := wire.AgentReport{
		ID:          d.ID,
		Incarnation: d.Incarnation,
		Age:         t.cfg.LostAfter,
		Draining:    true,
	}
	t.ingest(now, &news, true)
}

func (t *Table) drain(r *record) {
	if r.draining {
		return
	}
	r.draining = true
	r.touch(wire.ChangedDraining, t.version)
	if r.member == nil {
		return
	}
	m := r.member.with(func(m *Member) { m.Report.Draining = true })
	t.set(r, m)
	t.urgent = true
	t.emit(Changed{Member: m, Groups: wire.ChangedDraining})
}
