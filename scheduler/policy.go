package scheduler

import "time"

// Objective selects what the order of the queue and the choice of places
// favour.
type Objective uint8

const (
	// CompletionTime favours a short time from submission to completion.
	CompletionTime Objective = iota
	// Fragmentation favours keeping large blocks whole.
	Fragmentation
)

// Shape is a guaranteed block and the number of such blocks that an account is
// guaranteed.
type Shape struct {
	Accelerators int
	Adjacency    Adjacency
	Count        int
}

// AccountPolicy declares one client account. Weight divides the capacity beyond
// the guarantees; 0 means 1. MaxQueued bounds the waiting jobs; 0 means
// [DefaultMaxQueued].
type AccountPolicy struct {
	ID         AccountID
	Weight     int
	Guaranteed []Shape
	MaxQueued  int
}

// DefaultMaxQueued is the limit on waiting jobs of an account that sets none.
const DefaultMaxQueued = 20_000

// Policy is the part of a service document that configures the scheduler. A
// policy whose Generation is lower than that of the active one is ignored.
// Fields after Accounts take their defaults if they are zero.
type Policy struct {
	Generation uint64
	Objective  Objective
	Accounts   []AccountPolicy

	// MaxReservations bounds the reservations that exist at once.
	MaxReservations int
	// ReservedSharePercent is the percentage of all accelerators that
	// reservations may hold. The first reservation may be of any size.
	ReservedSharePercent int
	// ReserveAfter is how long a job waits before it may get a reservation.
	ReserveAfter time.Duration
	// AgeAfter is how long a job waits before it precedes the fair order.
	AgeAfter time.Duration
	// ReclaimAfter is how long a job leaves a guaranteed block of its account
	// to larger waiting jobs of the account, or waits for open capacity because
	// the account already uses as much as it is guaranteed. Urgent jobs and
	// those as large as the block don't wait.
	ReclaimAfter time.Duration
	// MaxEvictions bounds the evictions in progress at once.
	MaxEvictions int
	// FailureThreshold is the number of different jobs that must fail on a
	// worker without a success between them before it is quarantined.
	FailureThreshold int
	// JobFailureWorkers is the number of different healthy workers on which a
	// job must fail before it is rejected.
	JobFailureWorkers int
	// MaxAttempts bounds the failed starts of a job, and its early losses in a
	// row.
	MaxAttempts int
	// RetryAfter is the delay after the first failure. It doubles with each
	// further failure, up to 64 times the first delay.
	RetryAfter time.Duration
	// QuarantineFor is the length of the first quarantine of a worker. It
	// doubles with each further quarantine, up to QuarantineMax.
	QuarantineFor time.Duration
	// QuarantineMax bounds the length of one quarantine.
	QuarantineMax time.Duration
	// CPUSharePercent is the percentage of the cores and memory of a worker
	// with accelerators that jobs without accelerators may use.
	CPUSharePercent int
}

// WithDefaults returns the policy with defaults in place of its zero limits,
// delays and percentages.
func (p Policy) WithDefaults() Policy {
	p.MaxReservations = orInt(p.MaxReservations, 4)
	p.ReservedSharePercent = orInt(p.ReservedSharePercent, 40)
	p.ReserveAfter = orDuration(p.ReserveAfter, time.Second)
	p.AgeAfter = orDuration(p.AgeAfter, 10*time.Minute)
	p.ReclaimAfter = orDuration(p.ReclaimAfter, 10*time.Second)
	p.MaxEvictions = orInt(p.MaxEvictions, 64)
	p.FailureThreshold = orInt(p.FailureThreshold, 3)
	p.JobFailureWorkers = orInt(p.JobFailureWorkers, 3)
	p.MaxAttempts = orInt(p.MaxAttempts, 8)
	p.RetryAfter = orDuration(p.RetryAfter, time.Second)
	p.QuarantineFor = orDuration(p.QuarantineFor, 30*time.Second)
	p.QuarantineMax = orDuration(p.QuarantineMax, time.Hour)
	p.CPUSharePercent = orInt(p.CPUSharePercent, 25)
	return p
}

func orInt(v, def int) int {
	if v > 0 {
		return v
	}
	return def
}

func orDuration(v, def time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return def
}
