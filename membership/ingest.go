package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// ingest processes one report. Reports may arrive in any order.
func (t *Table) ingest(now time.Time, report *wire.AgentReport, relayed bool) {
	age := max(report.Age, 0)
	if age > t.cfg.LostAfter && !report.Departed {
		return
	}
	r := t.records[report.ID]
	if r == nil {
		r = t.admit(now, report, relayed)
	}
	if r == nil {
		return
	}
	if report.Incarnation < r.incarnation {
		if !relayed {
			t.emit(Newer{ID: r.id, Incarnation: r.incarnation, KnownFor: now.Sub(r.knownSince)})
		}
		return
	}
	if report.Incarnation > r.incarnation {
		t.supersede(now, r, report.Incarnation)
	}
	t.update(now, r, report, relayed, now.Add(-age))
}

// supersede ends the older incarnation, whose process has certainly ended.
func (t *Table) supersede(now time.Time, r *record, incarnation uint64) {
	if r.member != nil {
		t.emit(Lost{Member: t.removeMember(r, now)})
	}
	r.reset(incarnation, now)
}

// update processes a report of the record's current incarnation.
func (t *Table) update(now time.Time, r *record, report *wire.AgentReport, relayed bool, contact time.Time) {
	if r.left {
		return
	}
	if report.Departed {
		t.markLeft(now, r)
		return
	}
	// Draining counts even if the report is late or can't be applied: it is final
	// within an incarnation, and waiting for a full report would leave the member
	// schedulable until then.
	if report.Draining {
		t.markDraining(r)
	}
	// The entry with the latest contact relays the agent. An agent that moved to
	// another entry is reported directly there and relayed here, with a later time.
	if contact.After(r.lastContact) {
		r.lastContact = contact
		r.livenessVersion = t.version
		t.setDirect(r, !relayed)
	}
	t.merge(r, report, relayed)
	t.clearSuspicion(now, r)
}

// merge applies the report's content if it is newer and complete. Sequences begin at 1;
// a report with sequence 0 has no content.
func (t *Table) merge(r *record, report *wire.AgentReport, relayed bool) {
	joining := r.member == nil
	if report.Sequence == 0 || report.Sequence < r.sequence || (report.Sequence == r.sequence && !joining) {
		return
	}
	if !report.Full && (joining || report.BaseSequence > r.sequence) {
		t.emit(NeedFull{ID: r.id})
		return
	}
	base := wire.AgentReport{}
	state := Alive
	if !joining {
		base = r.member.Report
		state = r.member.State
	}
	next, groups := apply(base, *report)
	next.Draining = r.draining
	r.sequence = report.Sequence
	r.markChanged(groups, t.version)
	m := &Member{Report: next, State: state}
	t.updateMember(r, m, groups, joining)
}

func (t *Table) updateMember(r *record, m *Member, groups wire.FieldGroups, joining bool) {
	if joining {
		t.setMember(r, m)
		t.publishNow = true
		t.emit(Joined{Member: m})
		return
	}
	if groups == 0 {
		t.setMember(r, m) // only the sequence changed
		return
	}
	if m.Report.Service != r.member.Report.Service {
		t.publishNow = true
	}
	t.setMember(r, m)
	t.emit(Changed{Member: m, Groups: groups})
}

// clearSuspicion ends the suspicion if the last contact was recent enough.
func (t *Table) clearSuspicion(now time.Time, r *record) {
	if r.member == nil || r.member.State == Alive || now.Sub(r.lastContact) > t.cfg.SuspectAfter {
		return
	}
	m := r.member.with(func(m *Member) { m.State = Alive })
	t.setMember(r, m)
	t.emit(Recovered{Member: m})
}

func (t *Table) markLeft(now time.Time, r *record) {
	r.left = true
	r.livenessVersion = t.version
	if r.member == nil {
		r.goneSince = now
		return
	}
	t.emit(Left{Member: t.removeMember(r, now)})
}
