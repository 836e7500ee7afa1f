package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// spent is what a unit's time went into, from when its earlier steps were done.
type spent struct {
	room   time.Duration // waiting for room
	record time.Duration // of its last placement, until that was on record
	again  time.Duration // runs whose work did not count
	run    time.Duration // the run that did
}

// Late: a job was completed after its objective, or not at all. The parts are those of its
// last unit; Reason names the one that weighed most.
type Late struct {
	Job     workload.JobID
	Account string
	Queue   string
	Reason  string
	Detail  string
}

func (Late) isAction() {}

// tellLate reports why a job that has just been completed missed its objective.
func (e *Engine) tellLate(now time.Duration, j *job, last *unit) {
	over := now - j.objective()
	if over <= 0 || last == nil {
		return
	}
	s := last.spent
	expected := last.spec().Estimate
	slow := max(0, s.run-expected)
	reason, most := "the run took longer than declared", slow
	for _, part := range []struct {
		name string
		took time.Duration
	}{{"waited for room", s.room}, {"waited for the store", s.record}, {"ran again", s.again}} {
		if part.took > most {
			reason, most = part.name, part.took
		}
	}
	e.actions = append(e.actions, Late{
		Job:     j.spec.ID,
		Account: j.spec.Account,
		Queue:   j.spec.Queue,
		Reason:  reason,
		Detail: fmt.Sprintf("%d ms late; room %d ms, store %d ms, runs in vain %d ms, run %d ms of %d declared",
			over.Milliseconds(), s.room.Milliseconds(), s.record.Milliseconds(), s.again.Milliseconds(), s.run.Milliseconds(), expected.Milliseconds()),
	})
}
