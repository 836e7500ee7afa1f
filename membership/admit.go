package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// admit makes a record for an agent that is not known. A goodbye or draining
// makes one too, so that a report that it overtook can't undo it.
//
// An availability zone that returns at once sends hundreds of full reports in
// a moment. Beyond the pace they are shed before anything is kept of them, and
// the sender is told when to come back, later for each that was shed.
func (t *Table) admit(now time.Time, in *wire.AgentReport, relayed bool) *record {
	final := in.Departed || in.Draining
	if !in.Full && !final {
		t.emit(NeedFull{ID: in.ID})
		return nil
	}
	if !relayed && !final {
		if ok, after := t.pace.take(now); !ok {
			t.refuse(in.ID, after)
			return nil
		}
	}
	if len(t.records) >= t.cfg.MaxMembers && !t.dropGone() {
		t.refuse(in.ID, t.cfg.ReportPeriod)
		return nil
	}
	r := &record{id: in.ID, incarnation: in.Incarnation, gone: now}
	t.records[in.ID] = r
	return r
}

func (t *Table) refuse(id string, after time.Duration) {
	t.refused++
	t.emit(Refused{ID: id})
	t.emit(NextReport{After: after})
}

// dropGone forgets the record whose member has been gone for longest.
func (t *Table) dropGone() bool {
	var oldest *record
	for _, r := range t.records {
		if r.member == nil && (oldest == nil || older(r, oldest)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.id)
	return true
}

func older(a, b *record) bool {
	if !a.gone.Equal(b.gone) {
		return a.gone.Before(b.gone)
	}
	return a.id < b.id
}
