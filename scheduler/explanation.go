package scheduler

import "time"

// Explanation is why a job waits, as of the last decision.
type Explanation struct {
	Job     JobID
	Account AccountID
	Reason  WaitReason
	// At is the time of the decision that is explained.
	At time.Time
	// Accelerators and Span are what the job needs.
	Accelerators int
	Span         Adjacency
	// Until is when the reason is expected to end; zero where nothing is known.
	// Of a reservation it is when its place is expected to be complete.
	Until time.Time
	// First is the job that goes first: of the same queue for WaitBehind, of all
	// that wait for open capacity otherwise. Empty where no order is involved.
	First JobID
	// FirstReason is why First waits, for WaitBehind.
	FirstReason WaitReason
	// Ahead is how many jobs of the same queue go first. AheadMore says that
	// there are more than were counted.
	Ahead          int
	AheadTruncated bool
	// Free is the accelerators that any job could take at once, Largest the most
	// of them in one unit of the span, in accelerators of the job. Units counts
	// the units by what is free in them.
	Free    int
	Largest int
	Units   []FreeUnits
	// UnplacedBlocks is how many blocks of the account have no place, for WaitDegraded.
	UnplacedBlocks int
	// Evicting is the accelerators that a claim of the job still waits for.
	Evicting int
	// Detail is what makes the job impossible.
	Detail string
}

// FreeUnits says that Units units of a span have Free free accelerators each.
type FreeUnits struct {
	Free  int
	Units int
}
