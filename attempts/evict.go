package attempts

import "github.com/google/btree"

// mayHaveRun says whether an attempt without an entry may have run: on an
// earlier incarnation, or so long ago that its entry was dropped.
func (t *Table) mayHaveRun(id ID) bool {
	return id.Incarnation != t.config.Incarnation || id.Compare(t.highestEvicted) <= 0
}

// tooOld says whether the attempt was issued too long ago to begin.
//
// An entry that was paused between its claim and its message may wake after the
// claim has expired and another entry has run the request: its attempt is too
// old then.
func (t *Table) tooOld(id ID) bool {
	return !id.issuedAt().After(t.now.Add(-t.config.MaxAge))
}

// issuedInFuture says whether the attempt was issued in the future.
//
// An entry whose clock is far issuedInFuture issues IDs that lift the floor above all
// other attempts when they are dropped, and a worker would refuse everybody.
// They neither begin nor leave a tombstone; those that Resolve leaves are dropped
// last.
func (t *Table) issuedInFuture(id ID) bool {
	return id.issuedAt().After(t.now.Add(t.config.MaxClockSkew))
}

// hasCapacity says whether another attempt may run within the bound.
func (t *Table) hasCapacity() bool {
	finished := t.notRun.Len() + t.answered.Len() + t.answerLost.Len()
	return len(t.records)-finished < t.config.MaxEntries
}

func (t *Table) addNotRun(id ID) {
	r := &record{id: id, status: StatusNotRun}
	t.records[id] = r
	t.notRun.ReplaceOrInsert(r)
	t.evict()
}

// evict drops what is above the bounds, the oldest first: for bytes, answers, of
// which the fact that they ran stays; for entries, first refusals, then attempts
// without an answer, then answers. A request in progress is never dropped.
//
// A dropped entry lifts the floor to its ID. All that is at or below the floor
// and has no entry is Unknown, so that no dropped run can pass for one that
// never arrived, and none below may begin, so that no dropped refusal can be
// undone. Entries below the floor that are still there keep their account.
func (t *Table) evict() {
	for t.bytes > t.config.MaxAnswerBytes {
		r, _ := t.answered.DeleteMin()
		t.bytes -= len(r.answer)
		r.answer = nil
		r.status = StatusRan
		t.answerLost.ReplaceOrInsert(r)
	}
	for len(t.records) > t.config.MaxEntries && t.evictOldest() {
	}
}

func (t *Table) evictOldest() bool {
	for _, tree := range t.evictionOrder() {
		r, ok := tree.DeleteMin()
		if !ok {
			continue
		}
		delete(t.records, r.id)
		t.bytes -= len(r.answer)
		if r.id.Compare(t.highestEvicted) > 0 {
			t.highestEvicted = r.id
		}
		return true
	}
	return false
}

func (t *Table) evictionOrder() []*btree.BTreeG[*record] {
	oldest, ok := t.notRun.Min()
	if ok && t.issuedInFuture(oldest.id) {
		return []*btree.BTreeG[*record]{t.answerLost, t.answered, t.notRun}
	}
	return []*btree.BTreeG[*record]{t.notRun, t.answerLost, t.answered}
}
