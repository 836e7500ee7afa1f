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
	run    time.Duration // the run that did; 0 where its start is not known
}

// LateReason is what most of a late job's time went into.
type LateReason string

// Reasons.
const (
	LateByRun    LateReason = "the run took longer than declared"
	LateByRoom   LateReason = "waited for room"
	LateByRecord LateReason = "waited for the store"
	LateByRerun  LateReason = "ran again"
)

// Late: a job was completed after its objective. Detail has the parts of its last unit.
type Late struct {
	Job     workload.JobID
	Account string
	Queue   string
	Reason  LateReason
	Detail  string
}

func (Late) isAction() {}

// reason names the part that weighs most, for a unit that was declared to run that long.
func (s spent) reason(declared time.Duration) LateReason {
	reason, most := LateByRun, max(0, s.run-declared)
	for _, part := range []struct {
		reason LateReason
		took   time.Duration
	}{{LateByRoom, s.room}, {LateByRecord, s.record}, {LateByRerun, s.again}} {
		if part.took > most {
			reason, most = part.reason, part.took
		}
	}
	return reason
}

func (s spent) detail(over, declared time.Duration) string {
	return fmt.Sprintf("%d ms late; room %d ms, store %d ms, runs in vain %d ms, run %d ms of %d declared",
		over.Milliseconds(), s.room.Milliseconds(), s.record.Milliseconds(),
		s.again.Milliseconds(), s.run.Milliseconds(), declared.Milliseconds())
}

// tellLate reports why a job that its unit last has just completed missed its objective.
func (e *Engine) tellLate(now time.Duration, last *unit) {
	j := last.job
	over := now - j.objective()
	if over <= 0 {
		return
	}
	declared := last.spec().Estimate
	e.actions = append(e.actions, Late{
		Job:     j.spec.ID,
		Account: j.spec.Account,
		Queue:   j.spec.Queue,
		Reason:  last.spent.reason(declared),
		Detail:  last.spent.detail(over, declared),
	})
}
