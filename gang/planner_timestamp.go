package gang

import "time"

// PlannerTimestamp is the time at which a planner answered a report. Agents return the last
// one in their next report, which shows the planner how old the report can be at
// most, on its own clock and however long the report was under way. Without it a
// planner that wakes from a pause takes the reports queued meanwhile for fresh,
// and renews a member whose gang has ended.
type PlannerTimestamp struct {
	// Epoch is that of the planner, whose clock alone can read At.
	Epoch uint64 `cbor:"1,keyasint"`
	// At is the UnixNano of the time given to Step.
	At int64 `cbor:"2,keyasint"`
}

// NewPlannerTimestamp returns the stamp for an answer given now.
func NewPlannerTimestamp(epoch uint64, now time.Time) PlannerTimestamp {
	return PlannerTimestamp{Epoch: epoch, At: now.UnixNano()}
}

// reportTime returns the time up to which a report with the stamp is known to
// speak, for the planner with the epoch; zero if nothing is known. A report with
// no stamp counts as of its receipt, for agents that were never answered.
func (s PlannerTimestamp) reportTime(epoch uint64, received time.Time) time.Time {
	switch s.Epoch {
	case 0:
		return received
	case epoch:
		return time.Unix(0, s.At)
	}
	return time.Time{}
}
