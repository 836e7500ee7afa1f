package gang

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Lost means that the attempt ran, or may have run, and did not end by
	// itself. The outcome of a job that is not repeatable is then unknown.
	Lost Outcome = iota
	// Done means that the tasks of all members succeeded.
	Done
	// NotStarted means that provably no task started and none will.
	NotStarted
	// Stopped means that the attempt ran and was stopped on request on all
	// members.
	Stopped
	// Failed means that a task ended by itself with an error.
	Failed
	// Superseded means that there is a planner with a higher epoch. Nothing is
	// known of the attempt, and the caller must not change the job's record.
	Superseded
	// StartFailed means that a target did not answer the start of its task,
	// which was then stopped on all members. The job is not at fault.
	StartFailed
)

var outcomeNames = [...]string{"lost", "done", "not started", "stopped", "failed", "superseded", "start failed"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Cause is the first reason for which a coordinator aborted an attempt.
type Cause uint8

// Causes of an abort.
const (
	// NoCause means that the attempt was not aborted.
	NoCause Cause = iota
	// CauseAborted means that the caller requested it.
	CauseAborted
	// CauseRefused means that a member refused the reservation.
	CauseRefused
	// CauseTimeout means that reserving and recording took longer than the
	// hold allows, that starting took longer than Config.StartTimeout, or that
	// a successor found a member that succeeded before others were started.
	CauseTimeout
	// CauseConflict means that the job's record has changed and does not name
	// this attempt.
	CauseConflict
	// CauseMemberFailed means that a member was lost, restarted or gave up its
	// hold.
	CauseMemberFailed
	// CauseTaskFailed means that a task failed.
	CauseTaskFailed
	// CauseStaleEpoch means that a member has heard from a planner with a
	// higher epoch.
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
