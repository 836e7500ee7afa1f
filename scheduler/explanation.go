package scheduler

import "time"

// Explanation states why a job waits, as of the last decision.
type Explanation struct {
	Job     JobID
	Account AccountID
	Reason  WaitReason
	// At is the time of that decision.
	At time.Time
	// Accelerators and Span are what the job asks for.
	Accelerators int
	Span         Adjacency
	// Until is when the reason is expected to end, or zero if that is unknown.
	// For a reservation it is when its place is expected to be complete.
	Until time.Time
	// First is the job that precedes all others: those of the same queue for
	// WaitBehind, otherwise those that wait for open capacity. It is empty if
	// no order is involved.
	First JobID
	// FirstReason is why First waits, for WaitBehind.
	FirstReason WaitReason
	// Ahead counts the preceding jobs of the same queue. AheadTruncated is set
	// if there are more than were counted.
	Ahead          int
	AheadTruncated bool
	// Free is the open capacity in accelerators. Largest is the most
	// accelerators of the job that one unit of the span can hold. Units counts
	// the units by their free accelerators.
	Free    int
	Largest int
	Units   []FreeUnits
	// UnplacedBlocks counts the unbound blocks of the account that could hold
	// the job, for WaitDegraded.
	UnplacedBlocks int
	// Evicting is the number of accelerators that a claim of the job still
	// waits for.
	Evicting int
	// Detail states why the job is impossible.
	Detail string
}

// FreeUnits counts the units of a span that have the same number of free
// accelerators.
type FreeUnits struct {
	Free  int // accelerators free in each unit
	Units int
}
