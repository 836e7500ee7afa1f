package scheduler

// WorkerID identifies a worker. It is unique within a scheduling domain.
type WorkerID string

// JobID identifies a job. It is unique within a scheduling domain.
type JobID string

// AccountID identifies a client account.
type AccountID string

// Attempt numbers the starts of one job, from 1. Events that carry an older
// attempt than the current one are ignored.
type Attempt uint64
