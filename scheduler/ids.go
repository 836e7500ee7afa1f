package scheduler

// WorkerID names a worker; it is unique within a scheduling domain.
type WorkerID string

// JobID names a job; it is unique within a scheduling domain.
type JobID string

// AccountID names a client account.
type AccountID string

// Attempt numbers the starts of one job, from 1. An event that carries an
// older attempt than the current one is ignored.
type Attempt uint64
