package scheduler

import "time"

// Objective selects what the order of the queue and the choice of place favour.
type Objective uint8

const (
	// CompletionTime favours the time from request to answer.
	CompletionTime Objective = iota
	// Fragmentation favours keeping large blocks whole.
	Fragmentation
)

// Shape is a guaranteed block and how many of it an account is guaranteed.
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

// DefaultMaxQueued bounds the waiting jobs of an account that sets no bound.
const DefaultMaxQueued = 20_000

// Policy is the part of a service's document that the scheduler obeys. A
// policy whose Generation is lower than the one in force is ignored. Zero
// tunables take their defaults.
type Policy struct {
	Generation uint64
	Objective  Objective
	Accounts   []AccountPolicy

	// MaxReservations bounds the gangs that hold a reservation at once.
	MaxReservations int
	// ReservedSharePercent is the percentage of all accelerators that reservations may
	// hold, besides the first one, which may be of any size.
	ReservedSharePercent int
	// ReserveAfter is how long a job waits before it may hold a reservation.
	ReserveAfter time.Duration
	// AgeAfter is how long a job waits before it goes ahead of fair order.
	AgeAfter time.Duration
	// ReclaimAfter is how long a job leaves its account's guaranteed block to
	// larger jobs of the account that wait, or waits for open capacity because the
	// account already uses as much as it is guaranteed. Urgent jobs and those as
	// large as the block use it at once.
	ReclaimAfter time.Duration
	// MaxEvictions bounds the evictions in progress at once.
	MaxEvictions int
	// FailureThreshold is how many different jobs in a row must fail on a worker
	// before it is quarantined.
	FailureThreshold int
	// JobFailureWorkers is on how many different healthy workers a job must fail
	// before it is rejected.
	JobFailureWorkers int
	// MaxAttempts bounds the starts that end in failure, and those that are lost in a
	// row soon after.
	MaxAttempts int
	// RetryAfter is the first delay after a failure; it doubles up to 64 times.
	RetryAfter time.Duration
	// QuarantineFor is the first quarantine of a worker; it doubles up to
	// QuarantineMax.
	QuarantineFor time.Duration
	// QuarantineMax bounds one quarantine.
	QuarantineMax time.Duration
	// CPUSharePercent is the percentage of the cores and memory of a worker with
	// accelerators that jobs without accelerators may use.
	CPUSharePercent int
}

// WithDefaults returns the policy with every zero tunable set.
func (p Policy) WithDefaults() Policy {
	p.MaxReservations = orInt(p.MaxReservations, 4)
	p.ReservedSharePercent = orInt(p.ReservedSharePercent, 40)
	p.ReserveAfter = orTime(p.ReserveAfter, time.Second)
	p.AgeAfter = orTime(p.AgeAfter, 10*time.Minute)
	p.ReclaimAfter = orTime(p.ReclaimAfter, 10*time.Second)
	p.MaxEvictions = orInt(p.MaxEvictions, 64)
	p.FailureThreshold = orInt(p.FailureThreshold, 3)
	p.JobFailureWorkers = orInt(p.JobFailureWorkers, 3)
	p.MaxAttempts = orInt(p.MaxAttempts, 8)
	p.RetryAfter = orTime(p.RetryAfter, time.Second)
	p.QuarantineFor = orTime(p.QuarantineFor, 30*time.Second)
	p.QuarantineMax = orTime(p.QuarantineMax, time.Hour)
	p.CPUSharePercent = orInt(p.CPUSharePercent, 25)
	return p
}

func orInt(v, def int) int {
	if v > 0 {
		return v
	}
	return def
}

func orTime(v, def time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return def
}
