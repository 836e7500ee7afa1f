package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Cause is why a run ended without its work being done.
type Cause string

// Causes.
const (
	causeNone            Cause = ""
	CauseEvicted         Cause = "evicted"              // for a unit of higher rank
	CauseCancelled       Cause = "cancelled"            // by the caller
	CauseJobFailed       Cause = "job failed"           // another of its tasks failed for good
	CauseFailed          Cause = "failed"               // by its own fault or the worker's
	CauseMemberEnded     Cause = "member ended"         // another member of the gang ended
	CauseMembersMissing  Cause = "members missing"      // the other members did not come in time
	CauseWorkerLost      Cause = "worker lost"          // with all that ran there
	CauseLeaseExpired    Cause = "lease lapsed"         // nobody extended it
	CauseDrained         Cause = "worker drained"       // moved before the worker left
	CauseStalled         Cause = "stood still"          // and was moved
	CauseStartUnanswered Cause = "start unanswered"     // it may or may not run
	CauseNotListed       Cause = "not shown"            // looks did not show it
	CauseGangIncomplete  Cause = "gang incomplete"      // not all members could be ordered
	CauseInterference    Cause = "disturbs what serves" // it filled beside it
	CauseTakeover        Cause = "takeover"             // a predecessor left it half done
)

// WorkDiscarded is work of one run that was thrown away, in core-seconds; an accelerator
// counts as several cores, see workload.Resources.Cores.
type WorkDiscarded struct {
	Run     workload.RunID
	Account string
	Queue   string
	Worker  WorkerID
	Cause   Cause
	// Lost has to be done again; Saved is kept by a checkpoint.
	Lost, Saved float64
}

func (WorkDiscarded) isAction() {}

// setCauseOnce notes why the present run of u ends. The first cause stands: what follows from it,
// such as the end of a gang's other members, is not another.
func (u *unit) setCauseOnce(c Cause) {
	if u.cause == causeNone && u.state == unitActive {
		u.cause = c
	}
}

// recordDiscarded accounts for the work of a run that is over without being done.
func (e *Engine) recordDiscarded(now time.Duration, p *placement) {
	u := p.unit
	if u.verdict == verdictDone || u.cause == causeNone || p.began == 0 || p.state != placeRunning {
		return
	}
	ran := now - p.began
	saved := min(max(p.savedAt-p.began, 0), ran)
	cores := p.demand.CoreEquivalent()
	e.actions = append(e.actions, WorkDiscarded{
		Run:     p.id(),
		Account: u.job.spec.Account,
		Queue:   u.job.spec.Queue,
		Worker:  p.worker.info.ID,
		Cause:   u.cause,
		Lost:    cores * (ran - saved).Seconds(),
		Saved:   cores * saved.Seconds(),
	})
	if len(u.places) == 1 {
		u.spent.again += ran // the members of a gang run beside each other
	}
}
