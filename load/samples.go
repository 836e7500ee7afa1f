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
	// Free is the number of free accelerators.
	Free int
	// Stranded is how many of them lie in pieces too small for the jobs that
	// wait.
	Stranded int
	// Waiting is the number of waiting jobs.
	Waiting int
}

// ReclaimSample is one claim of a guaranteed shape that others were using.
type ReclaimSample struct {
	Account string
	// Took is from the demand to the start on the shape.
	Took     time.Duration
	Honoured bool
}
