package jobs

// State is the durable state of a job.
type State string

const (
	// Queued: accepted, waiting for its accelerators.
	Queued State = "queued"
	// Starting: a planner owns Attempt and may have started it. Whether it runs
	// is known to the agents named in Members.
	Starting State = "starting"
	// Done: every member of the gang ended with success.
	Done State = "done"
	// Failed: the job itself failed and is not tried again.
	Failed State = "failed"
	// Cancelled: ended at the caller's request.
	Cancelled State = "cancelled"
	// Rejected: never started, and never can.
	Rejected State = "rejected"
	// Unknown: a job that must not be repeated may have run, and the proof of
	// it was lost.
	Unknown State = "unknown"
)

// Ended tells whether no further change can follow.
func (s State) Ended() bool {
	return s != Queued && s != Starting
}
