package scheduler

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Done means that the job finished.
	Done Outcome = iota
	// Failed means that the job, or a worker that it ran on, failed.
	Failed
	// Stopped means that the attempt ended because it was asked to stop.
	Stopped
	// Lost means that the attempt was lost with a worker.
	Lost
	// StartFailed means that a worker did not start its part of the job.
	StartFailed
)
