package attempts

import (
	"time"

	"github.com/google/btree"
)

// unprovable says whether an attempt without an entry may have run: on an
// earlier incarnation, or so long ago that its entry was dropped.
func (t *Table) unprovable(id ID) bool {
	return id.Incarnation != t.config.Incarnation || id.Compare(t.floor) <= 0
}

// timely says whether the attempt was issued recently enough, and not in the
// future.
//
// An entry that was paused between its claim and its message may wake after the
// claim has expired and another entry has run the request: its attempt is too
// old then. A clock far ahead would issue IDs that are dropped last and then
// lift the floor above everybody else's attempts.
func (t *Table) timely(now time.Time, id ID) bool {
	issued := id.issuedAt()
	return issued.After(now.Add(-t.config.MaxAge)) && issued.Before(now.Add(t.config.Skew))
}

// room says whether another attempt may run within the bound.
func (t *Table) room() bool {
	ended := t.refused.Len() + t.answered.Len() + t.ran.Len()
	return len(t.entries)-ended < t.config.Entries
}

func (t *Table) refuse(id ID) {
	e := &entry{id: id, status: StatusNotRun}
	t.entries[id] = e
	t.refused.ReplaceOrInsert(e)
	t.trim()
}

// trim drops what is above the bounds, the oldest first: for bytes, answers, of
// which the fact that they ran stays; for entries, first refusals, then attempts
// without an answer, then answers. A request in progress is never dropped.
//
// A dropped entry lifts the floor to its ID. All that is at or below the floor
// and has no entry is Unknown, so that no dropped run can pass for one that
// never arrived, and none below may begin, so that no dropped refusal can be
// undone. Entries below the floor that are still there keep their account.
func (t *Table) trim() {
	for t.bytes > t.config.Bytes {
		e, _ := t.answered.DeleteMin()
		t.bytes -= len(e.answer)
		e.answer = nil
		e.status = StatusRan
		t.ran.ReplaceOrInsert(e)
	}
	for len(t.entries) > t.config.Entries && t.drop() {
	}
}

func (t *Table) drop() bool {
	for _, tree := range []*btree.BTreeG[*entry]{t.refused, t.ran, t.answered} {
		e, ok := tree.DeleteMin()
		if !ok {
			continue
		}
		delete(t.entries, e.id)
		t.bytes -= len(e.answer)
		if e.id.Compare(t.floor) > 0 {
			t.floor = e.id
		}
		return true
	}
	return false
}
