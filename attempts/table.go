package attempts

import (
	"time"

	"github.com/google/btree"
)

// TableConfig holds the settings of a Table.
type TableConfig struct {
	// Incarnation is the agent's. It increases with each start of its process.
	Incarnation uint64
	// MaxEntries and MaxAnswerBytes bound the attempts recorded and the total size of
	// the answers kept.
	MaxEntries     int
	MaxAnswerBytes int
	// MaxAge is the age up to which an attempt may begin. MaxAge plus MaxClockSkew
	// must be less than the lifetime of claims in the store.
	MaxAge time.Duration
	// MaxClockSkew bounds the difference between the wall clocks of instances.
	MaxClockSkew time.Duration
}

// Table is an agent's record of attempts. It is not safe for concurrent use.
type Table struct {
	config  TableConfig
	records map[ID]*record
	// Finished attempts by status, ordered by ID to find the oldest.
	notRun         *btree.BTreeG[*record]
	answered       *btree.BTreeG[*record]
	answerLost     *btree.BTreeG[*record]
	answerBytes    int       // total size of the answers
	highestEvicted ID        // attempts up to it without a record may neither begin nor be proved not run
	now            time.Time // time of the last Begin of an attempt without a record
}

// record is what a Table keeps about one attempt.
type record struct {
	id     ID
	status Status
	answer []byte // nil unless the status is StatusAnswered
}

const btreeDegree = 16

// NewTable returns an empty table.
func NewTable(c TableConfig) *Table {
	older := func(a, b *record) bool { return a.id.Compare(b.id) < 0 }
	return &Table{
		config:     c,
		records:    make(map[ID]*record),
		notRun:     btree.NewG(btreeDegree, older),
		answered:   btree.NewG(btreeDegree, older),
		answerLost: btree.NewG(btreeDegree, older),
	}
}

// Begin decides whether the attempt may run now. For BeginReplay it also returns
// the answer, which must not be modified.
func (t *Table) Begin(now time.Time, id ID) (BeginResult, []byte) {
	if r := t.records[id]; r != nil {
		return r.beginResult(), r.answer
	}
	t.now = now
	if t.mayHaveRun(id) || t.issuedInFuture(id) {
		return BeginUnknown, nil
	}
	if t.tooOld(id) || !t.hasCapacity() {
		t.addNotRun(id)
		return BeginRefuse, nil
	}
	t.records[id] = &record{id: id, status: StatusRunning}
	return BeginRun, nil
}

// RecordAnswer stores the whole answer of a running attempt. It panics if the
// attempt is not running.
func (t *Table) RecordAnswer(id ID, answer []byte) {
	r := t.runningRecord(id)
	r.status = StatusAnswered
	r.answer = answer
	t.answerBytes += len(answer)
	t.answered.ReplaceOrInsert(r)
	t.evict()
}

// RecordLostAnswer records that a running attempt was handed to the target and that
// there won't be an answer. It panics if the attempt is not running.
func (t *Table) RecordLostAnswer(id ID) {
	r := t.runningRecord(id)
	r.status = StatusRan
	t.answerLost.ReplaceOrInsert(r)
	t.evict()
}

// RecordNotRun records that a running attempt was never handed to the target. It
// panics if the attempt is not running.
func (t *Table) RecordNotRun(id ID) {
	r := t.runningRecord(id)
	r.status = StatusNotRun
	t.notRun.ReplaceOrInsert(r)
	t.evict()
}

// Resolve returns what became of the attempt, and its answer if the status is
// StatusAnswered. An attempt that has not arrived is refused from then on, so that
// StatusNotRun stays true.
func (t *Table) Resolve(id ID) (Status, []byte) {
	if r := t.records[id]; r != nil {
		return r.status, r.answer
	}
	if t.mayHaveRun(id) {
		return StatusUnknown, nil
	}
	t.addNotRun(id)
	return StatusNotRun, nil
}

// Len returns the number of attempts recorded.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the total size of the answers kept.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// beginResult returns the result of another Begin of a recorded attempt.
func (r *record) beginResult() BeginResult {
	switch r.status {
	case StatusRunning:
		return BeginJoin
	case StatusAnswered:
		return BeginReplay
	case StatusNotRun:
		return BeginRefuse
	}
	return BeginUnknown
}

// runningRecord returns the record of a running attempt. It panics if there is none:
// a finished record must not change, since its status may have been reported.
func (t *Table) runningRecord(id ID) *record {
	r := t.records[id]
	if r == nil || r.status != StatusRunning {
		panic("attempts: attempt is not running")
	}
	return r
}
