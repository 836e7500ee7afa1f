package scheduler

import "time"

// Job is a request for capacity. Cores and MemoryMB are per accelerator if
// Accelerators is positive, and otherwise for the whole job on one worker.
type Job struct {
	ID           JobID
	Account      AccountID
	Class        string
	Priority     int
	Urgent       bool
	Accelerators int
	Adjacency    Adjacency
	Cores        int
	MemoryMB     int
	// Estimate is the run time that the caller declared. It is used only until
	// enough run times of the account and class are known.
	Estimate time.Duration
	// Repeatable jobs may run again after a failure or an eviction.
	Repeatable bool
	// Checkpointable jobs resume from their last checkpoint.
	Checkpointable bool
	// NoBorrow keeps the job off capacity that blocks of other accounts need,
	// although it could be evicted from there.
	NoBorrow  bool
	Submitted time.Time
	// LastAttempt is the highest attempt number known to have been started, so
	// that a planner that takes over never reuses one.
	LastAttempt Attempt
}

// Evictable reports whether the job may be stopped and started again.
func (j *Job) Evictable() bool {
	return j.Repeatable || j.Checkpointable
}

// mayBorrow reports whether the job may run on capacity that blocks of other
// accounts need.
func (j *Job) mayBorrow() bool {
	return j.Evictable() && !j.NoBorrow
}
