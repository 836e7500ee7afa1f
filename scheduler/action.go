package scheduler

import "time"

// Action is an output of [Scheduler.Step].
type Action interface{ action() }

type (
	// StartGang asks to start an attempt on all of its placement or not at all.
	StartGang struct {
		Job       JobID
		Attempt   Attempt
		Placement Placement
	}
	// StopGang asks to stop an attempt, after a checkpoint if Checkpoint is set.
	// GangEnded must follow.
	StopGang struct {
		Job        JobID
		Attempt    Attempt
		Checkpoint bool
		Reason     StopReason
	}
	// RejectJob ends a job that is not done. The scheduler forgets it.
	RejectJob struct {
		Job    JobID
		Reason RejectReason
		Detail string
	}
	// JobRequeued says that a job waits again after an attempt.
	JobRequeued struct {
		Job     JobID
		Attempt Attempt
	}
	// GuaranteeDegraded says that Missing blocks of a shape fit nowhere now.
	GuaranteeDegraded struct {
		Account AccountID
		Shape   Shape
		Missing int
	}
	// GuaranteeRestored says that every block of a shape fits again.
	GuaranteeRestored struct {
		Account AccountID
		Shape   Shape
	}
	// QuarantineWorker says that a worker gets no work until Until, and then a
	// single probe.
	QuarantineWorker struct {
		Worker WorkerID
		Until  time.Time
	}
	// WorkerHealthy says that a probe succeeded and the worker is back.
	WorkerHealthy struct{ Worker WorkerID }
	// WakeAt asks for a Tick at a time. A later WakeAt replaces it.
	WakeAt struct{ At time.Time }
)

func (StartGang) action()         {}
func (StopGang) action()          {}
func (RejectJob) action()         {}
func (JobRequeued) action()       {}
func (GuaranteeDegraded) action() {}
func (GuaranteeRestored) action() {}
func (QuarantineWorker) action()  {}
func (WorkerHealthy) action()     {}
func (WakeAt) action()            {}
