package api

import "time"

// WaitReason is why a job has not started. It is one of the scheduler's reasons or one of
// those below; docs/OPERATIONS.md lists all. Newer entries may send others.
type WaitReason string

// Reasons in addition to those of the scheduler.
const (
	// WaitStarting means that the job is placed, and waits for its reservations or for the
	// write of its start to the store.
	WaitStarting WaitReason = "starting"
	// WaitStoreUnavailable means that the platform's store does not answer and the job has
	// no permit to start without it.
	WaitStoreUnavailable WaitReason = "store-out"
	// WaitPredecessorInDoubt means that an earlier planner may have started the job on a
	// permit, and it is not yet known whether it did.
	WaitPredecessorInDoubt WaitReason = "predecessor-in-doubt"
	// WaitRebuilding means that the job's record has not been read since the change of
	// planner.
	WaitRebuilding WaitReason = "rebuilding"
	// WaitEnding means that the job has ended, or will not start any more, and its end is
	// being written to the store.
	WaitEnding WaitReason = "ending"
)

// JobReport explains why a job waits.
type JobReport struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	State   JobState      `json:"state"`
	Planner ReportPlanner `json:"planner"`
	// AnsweredAt is the time of the planner's answer, and DecidedAt that of the decision
	// that it explains, if any. The planner decides at each change, so an old decision
	// means that nothing has changed since.
	AnsweredAt time.Time `json:"at"`
	DecidedAt  time.Time `json:"decided,omitzero"`
	// Wait is nil for a job that has an attempt or has ended.
	Wait *JobWait `json:"waits,omitempty"`
}

// JobWait describes what a job waits for.
type JobWait struct {
	Reason      WaitReason `json:"reason"`
	Explanation string     `json:"sentence"`
	// Until is when the reason is expected to end, or zero if unknown. For a reservation
	// it is when its place is expected to be complete.
	Until time.Time `json:"until,omitzero"`
	// FirstJob is the job that precedes all others. FirstJobReason is why it waits, if
	// both are of one queue, and JobsAhead the number of preceding jobs of that queue.
	FirstJob       string     `json:"first,omitempty"`
	FirstJobReason WaitReason `json:"first_reason,omitempty"`
	JobsAhead      int        `json:"ahead,omitempty"`
	// AheadTruncated is set if more jobs precede than were counted.
	AheadTruncated bool `json:"ahead_more,omitempty"`
	// Accelerators and Adjacency are what the job requires. Free is the total of free
	// accelerators, LargestFree the most in one unit, and FreeUnits counts the units by
	// their free accelerators.
	Accelerators int         `json:"accelerators"`
	Adjacency    Adjacency   `json:"adjacency"`
	Free         int         `json:"free,omitempty"`
	LargestFree  int         `json:"largest,omitempty"`
	FreeUnits    []FreeUnits `json:"units,omitempty"`
}
