package engine

import "time"

// queueClass tells whether a waiting unit can meet its job's objective.
type queueClass uint8

const (
	// classInTime: the job meets its objective if the unit starts by its latest start.
	classInTime queueClass = iota
	// classLateFirst is a unit of classLate that goes before units in time with a later latest start.
	classLateFirst
	// classLate: the job misses its objective, but is of use if the unit starts by its latest start.
	classLate
	// classUnbounded: the job misses its objective, and is of use whenever it ends. This applies to
	// queues without a stretch factor.
	classUnbounded
	// classUseless: the job is not expected to be of use any more.
	classUseless
)

// order returns the position of the class among units of equal priority.
func (c queueClass) order() queueClass {
	if c == classLateFirst {
		return classInTime
	}
	return c
}

// uselessMargin is how much longer than expected, as a share of the critical path, a late unit may take
// and still be of use. Run times differ from the expected ones by up to a fifth, and a unit that starts
// without a margin often ends too late and has used its capacity in vain.
const uselessMargin = 0.25

// classify returns the class of a waiting unit and its latest start; never for classUnbounded and
// classUseless. Without Policy.LateOrder, a unit that can't meet the objective is classUnbounded,
// so that such units are ordered by acceptance.
func (e *Engine) classify(now time.Duration, u *unit) (queueClass, time.Duration) {
	if u.spec().LongRunning {
		return classInTime, u.waitingSince // users wait for it from the start
	}
	policy := &e.params.Policy
	if !policy.DeadlineOrder {
		return classInTime, u.job.acceptedAt
	}
	j, path := u.job, e.criticalPathFrom(u)
	objective := e.objective(j)
	if now+path <= objective {
		return classInTime, objective - path
	}
	if !policy.LateOrder || j.spec.QueuePolicy.Stretch <= 0 {
		return classUnbounded, never
	}
	useless := u.usefulnessFrom() + j.usefulTime(objective)
	if latestStart := useless - path - time.Duration(uselessMargin*float64(path)); now <= latestStart {
		return classLate, latestStart
	}
	return classUseless, never
}

// usefulnessFrom returns the time from which the usefulness of u's job is counted: its acceptance
// or, for a scheduled job, the start of the wait, as its later occurrences are due long after the
// acceptance.
func (u *unit) usefulnessFrom() time.Duration {
	if u.job.spec.Schedule.Count > 0 {
		return u.waitingSince
	}
	return u.job.acceptedAt
}

// latestStart returns when u has to start for its job to meet its objective, or never if that
// is no longer possible.
func (e *Engine) latestStart(now time.Duration, u *unit) time.Duration {
	if class, at := e.classify(now, u); class == classInTime {
		return at
	}
	return never
}
