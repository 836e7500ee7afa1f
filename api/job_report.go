package api

import "time"

// WaitReason says why a job has not started. The reasons that a planner decides
// on are those of the scheduler; docs/OPERATIONS.md lists all. One that is not
// known is of a newer entry.
type WaitReason string

// Reasons beside the scheduler's.
const (
	// WaitStarting: it is placed; its workers' reservations, or the store's word
	// that its start is on record, are awaited.
	WaitStarting WaitReason = "starting"
	// WaitStoreUnavailable: the platform's store does not answer, and it has no permit to
	// start without a record of its start.
	WaitStoreUnavailable WaitReason = "store-out"
	// WaitPredecessorInDoubt: an earlier planner may have started it on a permit, and it is not
	// known yet whether it did.
	WaitPredecessorInDoubt WaitReason = "predecessor-in-doubt"
	// WaitRebuilding: after a change of planner its record has not been read yet.
	WaitRebuilding WaitReason = "rebuilding"
	// WaitEnding: it has ended or does not start any more; its end is being put on
	// record.
	WaitEnding WaitReason = "ending"
)

// JobReport says why a job waits, if it does.
type JobReport struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	State   JobState      `json:"state"`
	Planner ReportPlanner `json:"planner"`
	// AnsweredAt is when the planner answered, Decided the time of the decision that is
	// explained, zero where none is. The planner decides at each change: an old
	// decision says that nothing has changed since.
	AnsweredAt time.Time `json:"at"`
	DecidedAt  time.Time `json:"decided,omitzero"`
	// Wait is nil for a job that has an attempt or has ended.
	Wait *JobWait `json:"waits,omitempty"`
}

// JobWait is why a job waits.
type JobWait struct {
	Reason      WaitReason `json:"reason"`
	Explanation string     `json:"sentence"`
	// Until is when the reason is expected to end, where that is known; of a
	// reserved place, when it is expected to be complete.
	Until time.Time `json:"until,omitzero"`
	// FirstJob is the job that goes first, FirstReason why that one waits where both
	// are of one queue, and Ahead how many of that queue go first.
	FirstJob       string     `json:"first,omitempty"`
	FirstJobReason WaitReason `json:"first_reason,omitempty"`
	JobsAhead      int        `json:"ahead,omitempty"`
	// AheadTruncated: more go first than were counted.
	AheadTruncated bool `json:"ahead_more,omitempty"`
	// Accelerators and Adjacency are what it needs; Free is free in all, Largest in
	// one unit, and Units says how many units have how many.
	Accelerators int         `json:"accelerators"`
	Adjacency    Adjacency   `json:"adjacency"`
	Free         int         `json:"free,omitempty"`
	LargestFree  int         `json:"largest,omitempty"`
	FreeUnits    []FreeUnits `json:"units,omitempty"`
}
