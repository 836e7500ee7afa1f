package attempts

import (
	"time"

	"github.com/google/btree"
)

// TableConfig is the fixed part of a Table.
type TableConfig struct {
	// Incarnation of the agent, which grows with each start of its process.
	Incarnation uint64
	// MaxEntries and Bytes bound the attempts and the answers that are kept.
	MaxEntries     int
	MaxAnswerBytes int
	// MaxAge is how old an attempt may be when it begins. With Skew added it
	// must be below the time for which claims are kept in the store.
	MaxAge time.Duration
	// MaxClockSkew is how far the wall clocks of instances may differ.
	MaxClockSkew time.Duration
}

// Table is an agent's memory of attempts. It is not safe for concurrent use.
type Table struct {
	config  TableConfig
	records map[ID]*record
	// By ID, so that the oldest is found without a scan.
	notRun         *btree.BTreeG[*record]
	answered       *btree.BTreeG[*record]
	answerLost     *btree.BTreeG[*record]
	bytes          int
	highestEvicted ID
	now            time.Time // of the last Begin
}

type record struct {
	id     ID
	status Status
	answer []byte
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

// Begin decides whether the attempt may run now. The answer is the kept one if
// the verdict is Repeated, and is not to be changed.
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

// RecordAnswer keeps the whole answer of an attempt that was Fresh.
func (t *Table) RecordAnswer(id ID, answer []byte) {
	r := t.runningRecord(id)
	r.status = StatusAnswered
	r.answer = answer
	t.bytes += len(answer)
	t.answered.ReplaceOrInsert(r)
	t.evict()
}

// RecordLostAnswer notes that a Fresh attempt was handed to the target and that its
// answer will never come.
func (t *Table) RecordLostAnswer(id ID) {
	r := t.runningRecord(id)
	r.status = StatusRan
	t.answerLost.ReplaceOrInsert(r)
	t.evict()
}

// RecordNotRun notes that a Fresh attempt was never handed to the target.
func (t *Table) RecordNotRun(id ID) {
	r := t.runningRecord(id)
	r.status = StatusNotRun
	t.notRun.ReplaceOrInsert(r)
	t.evict()
}

// Resolve says what became of the attempt. One that never arrived is refused
// from now on, so that StatusNotRun stays true.
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

// Len returns the number of attempts remembered.
func (t *Table) Len() int { return len(t.records) }

// AnswerBytes returns the size of the answers kept.
func (t *Table) AnswerBytes() int { return t.bytes }

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

// runningRecord returns the entry of a Fresh attempt. Any other call would change an
// account that was already given to somebody.
func (t *Table) runningRecord(id ID) *record {
	r := t.records[id]
	if r == nil || r.status != StatusRunning {
		panic("attempts: attempt is not running")
	}
	return r
}
