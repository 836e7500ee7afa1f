package scheduler

import "time"

// Action is an output of [Scheduler.Step].
type Action interface{ action() }

type (
	// StartGang asks to start an attempt on its whole placement or not at all.
	StartGang struct {
		Job       JobID
		Attempt   Attempt
		Placement Placement
	}
	// StopGang asks to stop an attempt, after a checkpoint if Checkpoint is
	// set. The caller must report GangEnded for it.
	StopGang struct {
		Job        JobID
		Attempt    Attempt
		Checkpoint bool
		Reason     StopReason
	}
	// RejectJob ends a job that has not finished. The scheduler forgets the
	// job.
	RejectJob struct {
		Job    JobID
		Reason RejectReason
		Detail string
	}
	// JobRequeued reports that a job waits again after an attempt.
	JobRequeued struct {
		Job     JobID
		Attempt Attempt
	}
	// GuaranteeDegraded reports that Missing blocks of a shape can't be bound
	// to any workers now.
	GuaranteeDegraded struct {
		Account AccountID
		Shape   Shape
		Missing int
	}
	// GuaranteeRestored reports that every block of a shape is bound again.
	GuaranteeRestored struct {
		Account AccountID
		Shape   Shape
	}
	// QuarantineWorker reports that a worker gets no work until Until, and then
	// a single probe job.
	QuarantineWorker struct {
		Worker WorkerID
		Until  time.Time
	}
	// WorkerHealthy reports that a probe job succeeded and the worker is in use
	// again.
	WorkerHealthy struct{ Worker WorkerID }
	// WakeAt asks for a Tick at a time. A later WakeAt replaces an earlier one.
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
