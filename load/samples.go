package load

import "time"

// Samples holds measurements taken inside the system during the run.
type Samples struct {
	Fragmentation []FragmentationSample
	Reclaims      []ReclaimSample
}

// FragmentationSample is the free capacity of one service at a point in time.
type FragmentationSample struct {
	// At is the time since the start of the run.
	At               time.Duration
	FreeAccelerators int
	// StrandedAccelerators is the number of free accelerators in pieces too small for the
	// waiting jobs.
	StrandedAccelerators int
	WaitingJobs          int
}

// ReclaimSample is one claim of a guaranteed shape that other accounts were using.
type ReclaimSample struct {
	Account string
	// StartDelay is the time from the claim to its start on the shape.
	StartDelay time.Duration
	Honoured   bool
}
