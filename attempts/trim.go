package attempts

import "github.com/google/btree"

// unprovable says whether an attempt without an entry may have run: on an
// earlier incarnation, or so long ago that its entry was dropped.
func (t *Table) unprovable(id ID) bool {
	return id.Incarnation != t.config.Incarnation || id.Compare(t.floor) <= 0
}

// tooOld says whether the attempt was issued too long ago to begin.
//
// An entry that was paused between its claim and its message may wake after the
// claim has expired and another entry has run the request: its attempt is too
// old then.
func (t *Table) tooOld(id ID) bool {
	return !id.issuedAt().After(t.now.Add(-t.config.MaxAge))
}

// ahead says whether the attempt was issued in the future.
//
// An entry whose clock is far ahead issues IDs that lift the floor above all
// other attempts when they are dropped, and a worker would refuse everybody.
// They neither begin nor leave a tombstone; those that Resolve leaves are dropped
// last.
func (t *Table) ahead(id ID) bool {
	return id.issuedAt().After(t.now.Add(t.config.MaxClockSkew))
}

// room says whether another attempt may run within the bound.
func (t *Table) room() bool {
	ended := t.refused.Len() + t.answered.Len() + t.ran.Len()
	return len(t.entries)-ended < t.config.MaxEntries
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
	for t.bytes > t.config.MaxAnswerBytes {
		e, _ := t.answered.DeleteMin()
		t.bytes -= len(e.answer)
		e.answer = nil
		e.status = StatusRan
		t.ran.ReplaceOrInsert(e)
	}
	for len(t.entries) > t.config.MaxEntries && t.drop() {
	}
}

func (t *Table) drop() bool {
	for _, tree := range t.dropOrder() {
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

func (t *Table) dropOrder() []*btree.BTreeG[*entry] {
	oldest, ok := t.refused.Min()
	if ok && t.ahead(oldest.id) {
		return []*btree.BTreeG[*entry]{t.ran, t.answered, t.refused}
	}
	return []*btree.BTreeG[*entry]{t.refused, t.ran, t.answered}
}
