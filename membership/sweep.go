package membership

import (
	"cmp"
	"slices"
	"time"
)

// checkTimeouts marks members without recent contact as suspected or lost, and deletes
// records that have been gone for ForgetAfter.
func (t *Table) checkTimeouts(now time.Time) {
	var unresponsive []*record
	for id, r := range t.records {
		if r.member == nil {
			if now.Sub(r.goneSince) > t.cfg.ForgetAfter {
				delete(t.records, id)
			}
			continue
		}
		if now.Sub(r.lastContact) > t.cfg.SuspectAfter {
			unresponsive = append(unresponsive, r)
		}
	}
	// Map order is random, but equal inputs must give equal actions.
	slices.SortFunc(unresponsive, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	for _, r := range unresponsive {
		t.markUnresponsive(now, r)
	}
}

func (t *Table) markUnresponsive(now time.Time, r *record) {
	if now.Sub(r.lastContact) > t.cfg.LostAfter {
		t.emit(Lost{Member: t.removeMember(r, now)})
		return
	}
	if r.member.State == Suspect {
		return
	}
	m := r.member.with(func(m *Member) { m.State = Suspect })
	t.setMember(r, m)
	t.publishNow = true
	t.emit(Suspected{Member: m})
}
