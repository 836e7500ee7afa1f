package attempts

import "github.com/google/btree"

// mayHaveRun reports whether an attempt without a record may have run: on another
// incarnation, or so long ago that its record may have been evicted.
func (t *Table) mayHaveRun(id ID) bool {
	return id.Incarnation != t.config.Incarnation || id.Compare(t.highestEvicted) <= 0
}

// tooOld reports whether the attempt was issued too long ago to begin. If its entry
// was paused after writing the claim, the claim may have expired and another entry
// may have run the request.
func (t *Table) tooOld(id ID) bool {
	return !id.issuedAt().After(t.now.Add(-t.config.MaxAge))
}

// issuedInFuture reports whether the attempt was issued later than clock skew
// explains. Evicting such a record would raise highestEvicted above all valid
// attempts, and the agent would refuse everything. Such attempts therefore don't
// begin and leave no record; records of them made by Resolve are evicted last.
func (t *Table) issuedInFuture(id ID) bool {
	return id.issuedAt().After(t.now.Add(t.config.MaxClockSkew))
}

// hasCapacity reports whether one more attempt may run within MaxEntries.
func (t *Table) hasCapacity() bool {
	finished := t.notRun.Len() + t.answered.Len() + t.answerLost.Len()
	return len(t.records)-finished < t.config.MaxEntries
}

// addNotRun records that an attempt without a record must not run.
func (t *Table) addNotRun(id ID) {
	r := &record{id: id, status: StatusNotRun}
	t.records[id] = r
	t.notRun.ReplaceOrInsert(r)
	t.evict()
}

// evict enforces the bounds, oldest first. Above MaxAnswerBytes it drops answers and
// keeps their records as StatusRan. Above MaxEntries it drops the records of
// attempts that did not run, then those without an answer, then those with one.
// Running attempts are never evicted.
//
// highestEvicted is the highest ID ever evicted. Attempts up to it that have no
// record are Unknown, so that an evicted run is not taken for one that never
// arrived, and they may not begin, so that an evicted refusal stays final.
// Records that are still there keep their status.
func (t *Table) evict() {
	for t.answerBytes > t.config.MaxAnswerBytes {
		r, _ := t.answered.DeleteMin()
		t.answerBytes -= len(r.answer)
		r.answer = nil
		r.status = StatusRan
		t.answerLost.ReplaceOrInsert(r)
	}
	for len(t.records) > t.config.MaxEntries && t.evictOldest() {
	}
}

// evictOldest evicts the next record and reports whether there was one.
func (t *Table) evictOldest() bool {
	for _, tree := range t.evictionOrder() {
		r, ok := tree.DeleteMin()
		if !ok {
			continue
		}
		delete(t.records, r.id)
		t.answerBytes -= len(r.answer)
		if r.id.Compare(t.highestEvicted) > 0 {
			t.highestEvicted = r.id
		}
		return true
	}
	return false
}

// evictionOrder returns the kinds of finished attempts in the order of eviction.
func (t *Table) evictionOrder() []*btree.BTreeG[*record] {
	oldest, ok := t.notRun.Min()
	if ok && t.issuedInFuture(oldest.id) {
		return []*btree.BTreeG[*record]{t.answerLost, t.answered, t.notRun}
	}
	return []*btree.BTreeG[*record]{t.notRun, t.answerLost, t.answered}
}
