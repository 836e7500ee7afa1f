package gang

// Outcome is what can be said of an attempt when it is over.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Lost: it ran, or may have run, and did not end by itself. A job that is
	// not repeatable has an unknown outcome.
	Lost Outcome = iota
	// Done: the tasks of all members succeeded.
	Done
	// NotStarted: it is proved that no task started and that none will.
	NotStarted
	// Stopped: it ran and was stopped on request, on all members.
	Stopped
	// Failed: a task ended by itself with an error.
	Failed
	// Superseded: a planner with a higher epoch is in charge. Nothing is known,
	// and the caller must leave the job's record alone.
	Superseded
)

var outcomeNames = [...]string{"lost", "done", "not started", "stopped", "failed", "superseded"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Cause is the first reason for which a coordinator gave up an attempt.
type Cause uint8

// Causes of giving up.
const (
	// NoCause: it was not given up.
	NoCause Cause = iota
	// CauseAborted: the caller asked for it.
	CauseAborted
	// CauseRefused: a member refused the reservation.
	CauseRefused
	// CauseTimeout: reserving and recording took longer than the hold allows, or
	// starting longer than Config.StartWithin.
	CauseTimeout
	// CauseConflict: the job's record names another attempt.
	CauseConflict
	// CauseMemberFailed: a member was lost, restarted, or gave up its hold.
	CauseMemberFailed
	// CauseTaskFailed: a task failed.
	CauseTaskFailed
	// CauseStaleEpoch: a member has heard of a planner with a higher epoch.
	CauseStaleEpoch
)

var causeNames = [...]string{
	"none", "abort", "refused", "timeout", "conflict", "member", "task", "stale epoch",
}

// String returns the cause in lower case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "invalid"
}
