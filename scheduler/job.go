package scheduler

import "time"

// Job is a request for capacity.
//
// Cores and MemoryMB are per accelerator when Accelerators is positive, and for
// the whole job, on one worker, when it is 0.
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
	// Estimate is what the caller declared. It is used only until run times of
	// the account and class have been learned.
	Estimate time.Duration
	// Repeatable jobs may run again after a failure or an eviction.
	Repeatable bool
	// Checkpointable jobs resume from their last checkpoint.
	Checkpointable bool
	// NoBorrow keeps the job off capacity that the guarantee of another account
	// needs, although it could be evicted from there.
	NoBorrow  bool
	Submitted time.Time
	// LastAttempt is the highest attempt known to have been started, so that a
	// planner that takes over never reuses a number.
	LastAttempt Attempt
}

// Evictable reports whether the job may be stopped and started again.
func (j *Job) Evictable() bool {
	return j.Repeatable || j.Checkpointable
}

// mayBorrow reports whether the job may run on capacity that the guarantee of
// another account needs.
func (j *Job) mayBorrow() bool {
	return j.Evictable() && !j.NoBorrow
}
