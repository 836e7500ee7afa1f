package load

import "time"

// Samples are measurements taken inside the system during the run.
type Samples struct {
	Fragmentation []FragmentationSample
	Reclaims      []ReclaimSample
}

// FragmentationSample is the state of one service's capacity at a time.
type FragmentationSample struct {
	// At is from the beginning of the run.
	At time.Duration
	// FreeAccelerators is the number of free accelerators.
	FreeAccelerators int
	// StrandedAccelerators is how many of them lie in pieces too small for the jobs that
	// wait.
	StrandedAccelerators int
	// WaitingJobs is the number of waiting jobs.
	WaitingJobs int
}

// ReclaimSample is one claim of a guaranteed shape that others were using.
type ReclaimSample struct {
	Account string
	// StartDelay is from the demand to the start on the shape.
	StartDelay time.Duration
	Honoured   bool
}
