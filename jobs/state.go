package jobs

// State is the stored state of a job.
type State string

const (
	// Queued means that the job was accepted and waits for its accelerators.
	Queued State = "queued"
	// Starting means that a planner owns Attempt and may have started it. The
	// agents named in Members know whether it runs.
	Starting State = "starting"
	// Done means that every member of the gang ended with success.
	Done State = "done"
	// Failed means that the job failed and is not retried.
	Failed State = "failed"
	// Cancelled means that the job ended at the caller's request.
	Cancelled State = "cancelled"
	// Rejected means that the job never started and never will.
	Rejected State = "rejected"
	// Unknown means that a job that is not repeatable may have run, and that
	// there is no proof of how it ended.
	Unknown State = "unknown"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s != Queued && s != Starting
}
