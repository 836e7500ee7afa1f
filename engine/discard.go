package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Cause is why a run ended without completing its work.
type Cause string

// The causes of runs that ended without completing their work.
const (
	causeNone            Cause = ""
	CauseEvicted         Cause = "evicted"              // to free capacity for a unit with precedence
	CauseCancelled       Cause = "cancelled"            // by the caller
	CauseJobFailed       Cause = "job failed"           // another of its tasks failed for good
	CauseFailed          Cause = "failed"               // reported as failed, through its own fault or the worker's
	CauseMemberEnded     Cause = "member ended"         // another member of the gang ended
	CauseMembersMissing  Cause = "members missing"      // the other gang members did not start in time
	CauseWorkerLost      Cause = "worker lost"          // the worker crashed or left
	CauseLeaseExpired    Cause = "lease lapsed"         // the worker's lease was not renewed in time
	CauseDrained         Cause = "worker drained"       // moved before the worker leaves
	CauseStalled         Cause = "stood still"          // made no progress and was moved
	CauseStartUnanswered Cause = "start unanswered"     // unknown whether it was started
	CauseNotListed       Cause = "not shown"            // the worker does not list it as running
	CauseGangIncomplete  Cause = "gang incomplete"      // not all members could be started
	CauseInterference    Cause = "disturbs what serves" // a best-effort task slowed latency-sensitive tasks
	CauseTakeover        Cause = "takeover"             // the previous planner left the gang incomplete
)

// WorkDiscarded reports the work of one run that was not completed, in core-seconds. See
// workload.Resources.CoreEquivalent for accelerators.
type WorkDiscarded struct {
	Run     workload.RunID
	Account string
	Queue   string
	Worker  WorkerID
	Cause   Cause
	// Lost work has to be repeated; Saved work is kept in a checkpoint.
	Lost, Saved float64
}

func (WorkDiscarded) isAction() {}

// setCauseOnce sets why the current run of u ends unless a cause is set already, so that
// consequences such as the end of the other gang members don't replace it.
func (u *unit) setCauseOnce(c Cause) {
	if u.cause == causeNone && u.state == unitActive {
		u.cause = c
	}
}

// recordDiscarded reports the work of a run that ended without completing it.
func (e *Engine) recordDiscarded(now time.Duration, p *placement) {
	u := p.unit
	if u.outcome == outcomeDone || u.cause == causeNone || p.startedAt == 0 || p.state != placementRunning {
		return
	}
	ran := now - p.startedAt
	saved := min(max(p.checkpointAt-p.startedAt, 0), ran)
	cores := p.demand.CoreEquivalent()
	e.actions = append(e.actions, WorkDiscarded{
		Run:     p.runID(),
		Account: u.job.spec.Account,
		Queue:   u.job.spec.Queue,
		Worker:  p.worker.info.ID,
		Cause:   u.cause,
		Lost:    cores * (ran - saved).Seconds(),
		Saved:   cores * saved.Seconds(),
	})
	if len(u.placements) == 1 {
		u.times.discardedRuns += ran // gang members run in parallel, so their times don't add up
	}
}
