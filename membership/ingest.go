package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// ingest takes one report, in whatever order reports come.
func (t *Table) ingest(now time.Time, in *wire.AgentReport, relayed bool) {
	age := max(in.Age, 0)
	if age > t.cfg.LostAfter && !in.Departed {
		return
	}
	r := t.records[in.ID]
	if r == nil {
		r = t.admit(now, in, relayed)
	}
	if r == nil {
		return
	}
	if in.Incarnation < r.incarnation {
		if !relayed {
			t.emit(Newer{ID: r.id, Incarnation: r.incarnation})
		}
		return
	}
	if in.Incarnation > r.incarnation {
		t.supersede(now, r, in.Incarnation)
	}
	t.update(now, r, in, relayed, now.Add(-age))
}

// supersede ends the older incarnation: its process is gone for certain.
func (t *Table) supersede(now time.Time, r *record, incarnation uint64) {
	if r.member != nil {
		t.emit(Lost{Member: t.remove(r, now)})
	}
	r.restart(incarnation, now)
}

// update takes a report of the record's own incarnation.
func (t *Table) update(now time.Time, r *record, in *wire.AgentReport, relayed bool, heard time.Time) {
	if r.left {
		return
	}
	if in.Departed {
		t.leave(now, r)
		return
	}
	// Draining counts even when the report is late or can't be applied: it
	// is final within an incarnation, and waiting for a full report would
	// offer the member meanwhile.
	if in.Draining {
		t.drain(r)
	}
	// Who heard the agent last relays it. An agent that moved to another
	// entry is heard there directly and here by relay, with a later time.
	if heard.After(r.heard) {
		r.heard = heard
		r.lifeVersion = t.version
		t.setDirect(r, !relayed)
	}
	t.merge(r, in, relayed)
	t.recover(now, r)
}

// merge applies the report's content when it is newer and complete. Sequences
// begin at 1; a report without one has no content.
func (t *Table) merge(r *record, in *wire.AgentReport, relayed bool) {
	back := r.member == nil
	if in.Sequence == 0 || in.Sequence < r.sequence || (in.Sequence == r.sequence && !back) {
		return
	}
	if !in.Full && (back || in.BaseSequence > r.sequence) {
		t.emit(NeedFull{ID: r.id})
		return
	}
	base := wire.AgentReport{}
	state := Alive
	if !back {
		base = r.member.Report
		state = r.member.State
	}
	next, groups := apply(base, *in)
	next.Draining = r.draining
	r.sequence = in.Sequence
	r.touch(groups, t.version)
	m := &Member{Report: next, State: state}
	t.announce(r, m, groups, back)
}

func (t *Table) announce(r *record, m *Member, groups wire.FieldGroups, back bool) {
	if back {
		t.set(r, m)
		t.urgent = true
		t.emit(Joined{Member: m})
		return
	}
	if groups == 0 {
		// Only the sequence moved: nothing that a reader could act on. The
		// record's sequence rules the order, so the member may lag.
		return
	}
	if m.Report.Service != r.member.Report.Service {
		t.urgent = true
	}
	t.set(r, m)
	t.emit(Changed{Member: m, Groups: groups})
}

// recover ends suspicion when the member was heard recently enough.
func (t *Table) recover(now time.Time, r *record) {
	if r.member == nil || r.member.State == Alive || now.Sub(r.heard) > t.cfg.SuspectAfter {
		return
	}
	m := r.member.with(func(m *Member) { m.State = Alive })
	t.set(r, m)
	t.emit(Recovered{Member: m})
}

func (t *Table) leave(now time.Time, r *record) {
	r.left = true
	r.lifeVersion = t.version
	if r.member == nil {
		r.gone = now
		return
	}
	t.emit(Left{Member: t.remove(r, now)})
}
