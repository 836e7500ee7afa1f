package scheduler

import "time"

// Event is an input of [Scheduler.Step].
type Event interface{ event() }

type (
	// WorkerUp adds a worker, or returns one that was down or draining to use.
	WorkerUp struct{ Worker Worker }
	// WorkerDown reports that a worker is lost. Every gang with a member on it
	// is stopped.
	WorkerDown struct{ ID WorkerID }
	// WorkerDraining reports that a worker takes no new work but finishes what
	// it runs.
	WorkerDraining struct{ ID WorkerID }
	// PolicyChanged activates a policy.
	PolicyChanged struct{ Policy Policy }
	// JobsSubmitted queues jobs. Jobs that are already known are ignored.
	JobsSubmitted struct{ Jobs []Job }
	// JobsCancelled withdraws jobs. Their running attempts are stopped.
	JobsCancelled struct{ IDs []JobID }
	// JobRestored reports an attempt that agents hold, after a takeover by a
	// new planner.
	JobRestored struct {
		Job       Job
		Attempt   Attempt
		Placement Placement
		Started   time.Time
		// Stopping is set if the agents were already asked to stop the attempt.
		Stopping bool
	}
	// GangStarted reports that every member of the attempt runs.
	GangStarted struct {
		Job     JobID
		Attempt Attempt
	}
	// GangRefused reports that no member of the attempt started, because Worker
	// refused it or did not answer.
	GangRefused struct {
		Job     JobID
		Attempt Attempt
		Worker  WorkerID
	}
	// GangEnded reports that no member of the attempt runs any more. Worker is
	// the member at fault, if known.
	GangEnded struct {
		Job          JobID
		Attempt      Attempt
		Outcome      Outcome
		Worker       WorkerID
		Checkpointed time.Time
	}
	// CheckpointTaken reports that the work of a job up to At is saved.
	CheckpointTaken struct {
		Job JobID
		At  time.Time
	}
	// Tick only advances the time.
	Tick struct{}
	// Batch applies events in order and decides once, after the last.
	Batch struct{ Events []Event }
)

func (WorkerUp) event()        {}
func (WorkerDown) event()      {}
func (WorkerDraining) event()  {}
func (PolicyChanged) event()   {}
func (JobsSubmitted) event()   {}
func (JobsCancelled) event()   {}
func (JobRestored) event()     {}
func (GangStarted) event()     {}
func (GangRefused) event()     {}
func (GangEnded) event()       {}
func (CheckpointTaken) event() {}
func (Tick) event()            {}
func (Batch) event()           {}
