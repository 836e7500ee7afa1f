package scheduler

import "time"

// Event is an input of [Scheduler.Step].
type Event interface{ event() }

type (
	// WorkerUp adds a worker, or returns one that was down or draining.
	WorkerUp struct{ Worker Worker }
	// WorkerDown says that a worker is gone. Its gangs are stopped everywhere.
	WorkerDown struct{ ID WorkerID }
	// WorkerDraining says that a worker takes no new work and ends what it runs.
	WorkerDraining struct{ ID WorkerID }
	// PolicyChanged puts a policy in force.
	PolicyChanged struct{ Policy Policy }
	// JobsSubmitted queues jobs. A job that is already known is ignored.
	JobsSubmitted struct{ Jobs []Job }
	// JobsCancelled withdraws jobs. Those that run are stopped.
	JobsCancelled struct{ IDs []JobID }
	// JobRestored reports an attempt that agents hold, after a takeover.
	JobRestored struct {
		Job       Job
		Attempt   Attempt
		Placement Placement
		Started   time.Time
		// Stopping attempts are not asked to stop again.
		Stopping bool
	}
	// GangStarted says that every member of the attempt runs.
	GangStarted struct {
		Job     JobID
		Attempt Attempt
	}
	// GangRefused says that the attempt did not start anywhere, because Worker
	// refused it or did not answer.
	GangRefused struct {
		Job     JobID
		Attempt Attempt
		Worker  WorkerID
	}
	// GangEnded says that no member of the attempt runs any more. Worker names
	// the member at fault, if one is known.
	GangEnded struct {
		Job          JobID
		Attempt      Attempt
		Outcome      Outcome
		Worker       WorkerID
		Checkpointed time.Time
	}
	// CheckpointTaken says that the work of a job up to At is safe.
	CheckpointTaken struct {
		Job JobID
		At  time.Time
	}
	// Tick only lets time pass.
	Tick struct{}
	// Batch applies events in order and decides once after the last.
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
