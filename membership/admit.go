package membership

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// admit creates a record for an unknown agent, or returns nil. A departure notice or
// draining creates one too, so that an earlier report that arrives later can't undo it.
//
// Reports beyond the admission rate are refused before anything is stored, since a whole
// availability zone may reconnect at once. Each refused sender gets a later retry time
// than the one before.
func (t *Table) admit(now time.Time, report *wire.AgentReport, relayed bool) *record {
	terminal := report.Departed || report.Draining
	if !report.Full && !terminal {
		t.emit(NeedFull{ID: report.ID})
		return nil
	}
	if !relayed && !terminal {
		if ok, after := t.admission.admit(now); !ok {
			t.refuse(report.ID, after)
			return nil
		}
	}
	if len(t.records) >= t.cfg.MaxMembers && !t.dropLongestGone() {
		t.refuse(report.ID, t.cfg.ReportPeriod)
		return nil
	}
	r := &record{id: report.ID, incarnation: report.Incarnation, knownSince: now, goneSince: now}
	t.records[report.ID] = r
	return r
}

func (t *Table) refuse(id string, after time.Duration) {
	t.refused++
	t.emit(Refused{ID: id})
	t.emit(NextReport{After: after})
}

// dropLongestGone deletes the record whose member has been gone for longest. It reports
// whether there was one.
func (t *Table) dropLongestGone() bool {
	var oldest *record
	for _, r := range t.records {
		if r.member == nil && (oldest == nil || goneEarlier(r, oldest)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.id)
	return true
}

func goneEarlier(a, b *record) bool {
	if !a.goneSince.Equal(b.goneSince) {
		return a.goneSince.Before(b.goneSince)
	}
	return a.id < b.id
}
