package gang

import "time"

// PlannerTimestamp is when a planner answered a report. Agents return the last
// one in their next report, so that the planner knows on its own clock how old
// that report can be at most. Without it a planner that resumes after a pause
// would take the reports queued meanwhile as current, and renew a member whose
// gang has ended.
type PlannerTimestamp struct {
	// Epoch identifies the planner whose clock At was read from.
	Epoch uint64 `cbor:"1,keyasint"`
	// At is the time passed to Step, in Unix nanoseconds.
	At int64 `cbor:"2,keyasint"`
}

// InvalidTimestamp belongs to no planner's epoch.
var InvalidTimestamp = PlannerTimestamp{Epoch: ^uint64(0)}

// NewPlannerTimestamp returns the timestamp for an answer given now.
func NewPlannerTimestamp(epoch uint64, now time.Time) PlannerTimestamp {
	return PlannerTimestamp{Epoch: epoch, At: now.UnixNano()}
}

// before reports whether another timestamp was given later, by a later planner or
// by the same one.
func (s PlannerTimestamp) before(other PlannerTimestamp) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch < other.Epoch
	}
	return s.At < other.At
}

// reportTime returns the time as of which a report with this timestamp is
// valid for the planner with the given epoch, or zero if that is unknown. A
// report without a timestamp, from an agent that was never answered, is valid
// as of its receipt.
func (s PlannerTimestamp) reportTime(epoch uint64, received time.Time) time.Time {
	switch s.Epoch {
	case 0:
		return received
	case epoch:
		return time.Unix(0, s.At)
	}
	return time.Time{}
}
