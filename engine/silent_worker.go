package engine

import "time"

// LeaseBasis is how a planner knows by when the lease of a worker ends.
type LeaseBasis string

// Values of LeaseBasis.
const (
	// LeaseGranted means that this planner granted it.
	LeaseGranted LeaseBasis = "granted"
	// LeaseReported means that the agent has told when it ends.
	LeaseReported LeaseBasis = "reported"
	// LeaseRecorded means that a previous planner has recorded by when it ends; see LeaseRecord.
	LeaseRecorded LeaseBasis = "recorded"
	// LeaseAssumed means that predecessors may have granted it for as long as they can have been alive.
	LeaseAssumed LeaseBasis = "assumed"
)

// WorkerSilent reports that a worker with runs has not been granted its lease for some time. Until the
// lease ends its runs are not started elsewhere.
type WorkerSilent struct {
	Worker WorkerInfo
	Runs   int
	Basis  LeaseBasis
	// Remaining is the time until the lease ends.
	Remaining time.Duration
	// LastReport is the time since the worker last reported to this planner; 0 if it has not.
	LastReport time.Duration
}

func (WorkerSilent) isAction() {}

// LeaseExpired reports that the lease of a worker has ended, and with it its runs.
type LeaseExpired struct {
	Worker WorkerInfo
	Runs   int
	Basis  LeaseBasis
	// Waited is the time since this planner last granted the lease or, if it has not, since its term began.
	Waited time.Duration
}

func (LeaseExpired) isAction() {}

// lastGrantAt returns when this planner last granted the lease of w or, if it has not, when its term began.
func (e *Engine) lastGrantAt(w *worker) time.Duration { return max(w.grantedAt, e.startedAt) }

// silent reports whether the planner could have granted the lease of w for reportTimeout and has not.
func (e *Engine) silent(now time.Duration, w *worker) bool {
	return now-max(e.lastGrantAt(w), e.workersRestoredAt, w.grantsResumedAt) >= reportTimeout
}

// reportSilence reports once for each time in which w gets no lease that its runs wait for the end of it.
func (e *Engine) reportSilence(now time.Duration, w *worker) {
	if len(w.placements) == 0 || w.leaseExpired || w.silenceReported || !e.silent(now, w) {
		return
	}
	w.silenceReported = true
	report := WorkerSilent{Worker: w.info, Runs: len(w.placements), Basis: w.leaseBasis, Remaining: w.leaseExpiresAt - now}
	if w.lastReport >= e.startedAt {
		report.LastReport = now - w.lastReport
	}
	e.actions = append(e.actions, report)
}

// reportExpiry reports that the lease of w has expired, if runs waited for it.
func (e *Engine) reportExpiry(now time.Duration, w *worker) {
	if len(w.placements) == 0 {
		return
	}
	e.actions = append(e.actions, LeaseExpired{Worker: w.info, Runs: len(w.placements), Basis: w.leaseBasis, Waited: now - e.lastGrantAt(w)})
}
