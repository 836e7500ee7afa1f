package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// incarnation is what the agent knows of one incarnation of its worker. The agent's mutex guards it.
type incarnation struct {
	info      engine.WorkerInfo
	sequence  int64
	draining  bool
	departsAt time.Duration

	// workerClock was the worker's own at some time up to readAt.
	workerClock time.Duration
	clockReadAt time.Duration
	// polledAt is when the last look was asked for.
	polledAt time.Duration
	polled   bool
	// leaseEnd is the latest time, on the agent's clock, to which the lease may have
	// been extended by any order sent, answered or not.
	leaseEnd time.Duration
	// surveyedLeaseEnd is the leaseEnd after whose lapse a look has shown every end there was.
	surveyedLeaseEnd time.Duration
	// fence is what orders carry, fenced the highest that the worker certainly has seen.
	fence          engine.Fence
	confirmedFence engine.Fence
	recordedEnds   int64 // ends that may be forgotten
	// ackedEnds are those of which the worker has certainly heard so.
	ackedEnds int64
	// pollOften: the planner wants looks more often.
	pollOften bool

	// extraPollAt is when a look was last made out of turn to renew the lease.
	extraPollAt  time.Duration
	unresponsive bool // the last look got no answer
	// unresponsiveSince is when looks began to get none, failureTold when a report was last called
	// for since that was so.
	unresponsiveSince time.Duration
	failureReportedAt time.Duration
	running           []engine.RunStatus
	// firstSeen is when a look first showed each of them.
	firstSeen map[workload.RunID]time.Duration
	ended     []engine.RunEnd
	voidEnds  map[int64]bool // ends that came before a lapse of the lease
	// confirmedStops are runs whose stop was confirmed, with the time of the confirmation.
	confirmedStops  map[workload.RunID]time.Duration
	absent          []workload.RunID
	unreportedPolls int // answered looks that no planner has taken yet
	// lastAnswerStale: the last answer was taken for an older one than the last but one.
	lastAnswerStale bool
	// pollsInReport is how many of them the report on its way tells of. A look that was
	// told once must not count again: it says nothing of runs that began after it.
	pollsInReport int
}

func newIncarnation(info engine.WorkerInfo) *incarnation {
	return &incarnation{info: info, voidEnds: map[int64]bool{}, confirmedStops: map[workload.RunID]time.Duration{}}
}

// raiseFence makes later orders carry a fence, and returns false where they carry one as high.
func (inc *incarnation) raiseFence(f engine.Fence) bool {
	if f.Compare(inc.fence) <= 0 {
		return false
	}
	inc.fence = f
	return true
}

// workerTime turns a time on the agent's clock into one on the worker's. The worker's clock
// was read before readAt, so the result never lies beyond t.
func (inc *incarnation) workerTime(t time.Duration) time.Duration {
	if !inc.polled || t <= inc.clockReadAt {
		return 0
	}
	return inc.workerClock + t - inc.clockReadAt
}

// extendLease notes that an order with a lease until t leaves.
func (inc *incarnation) extendLease(t time.Duration) { inc.leaseEnd = max(inc.leaseEnd, t) }

// leaseExpiryMargin is how much later than reckoned a lease may lapse, since the worker's clock
// may be 2% slow over a lease of some seconds, and how much earlier, in transit.
const leaseExpiryMargin = 250 * time.Millisecond

// leaseMayHaveExpired says whether the lease may have lapsed and no look has shown yet what had ended
// before. Until one has, nothing extends the lease and nothing starts: of an end that was
// listed only after something ran again, nobody could tell whether it came before the
// lapse, and counts as not having been, or after it, and counts.
func (inc *incarnation) leaseMayHaveExpired(now time.Duration) bool {
	return inc.leaseEnd != 0 && inc.surveyedLeaseEnd != inc.leaseEnd && now > inc.leaseEnd-leaseExpiryMargin
}

// applyStatus notes an answered look that was asked for at sent and came at now. before is the
// lease's end as it was when the look was sent. A look sent after that follows a lapse,
// so the ends that it shows and that nobody took note of count as not having been. Once
// the lease is extended again, a look that was sent before may show ends of later runs,
// which count. It returns false for an answer that tells nothing new.
func (inc *incarnation) applyStatus(status WorkerStatus, sentAt, receivedAt, leaseEndAtSend time.Duration) bool {
	if leaseEndAtSend != 0 && sentAt > leaseEndAtSend+leaseExpiryMargin && inc.leaseEnd == leaseEndAtSend {
		inc.surveyedLeaseEnd = leaseEndAtSend
		for _, row := range status.Ended {
			inc.voidEnds[row.Sequence] = true
		}
	}
	inc.voidEndsBeforeExpiry(status.Ended)
	inc.unresponsive = false
	if inc.polled && (status.Clock < inc.workerClock || status.Clock == inc.workerClock && sentAt < inc.polledAt) {
		return false // overtaken on its way by the answer to a later look
	}
	inc.workerClock, inc.clockReadAt, inc.polledAt, inc.polled = status.Clock, receivedAt, sentAt, true
	inc.running = status.Running
	inc.updateFirstSeen()
	inc.ended = status.Ended
	for i := range inc.ended {
		inc.ended[i].Void = inc.voidEnds[inc.ended[i].Sequence]
	}
	inc.unreportedPolls++
	inc.resolveStops(sentAt)
	return true
}

// updateFirstSeen notes since when looks have shown what runs.
func (inc *incarnation) updateFirstSeen() {
	firstSeen := make(map[workload.RunID]time.Duration, len(inc.running))
	for _, row := range inc.running {
		firstSeen[row.Run] = inc.clockReadAt
		if earlier, seen := inc.firstSeen[row.Run]; seen {
			firstSeen[row.Run] = earlier
		}
	}
	inc.firstSeen = firstSeen
}

// pastStartup returns the runs that looks had shown for long enough to tell that they did not
// crash the worker by their start.
func (inc *incarnation) pastStartup() []engine.RunStatus {
	var out []engine.RunStatus
	for _, row := range inc.running {
		if inc.clockReadAt-inc.firstSeen[row.Run] >= engine.StartupCrashWindow {
			out = append(out, engine.RunStatus{Run: row.Run})
		}
	}
	return out
}

// voidEndsBeforeExpiry marks the ends that are listed before a run that lapsed: the lease ran
// out between them and this look, so they count as not having been.
//
// The failure it guards against: an agent that was away for longer than the lease, and was
// started again, knows nothing of the lease. It would report a task as done that the
// planner, to which the lease has lapsed, starts elsewhere.
func (inc *incarnation) voidEndsBeforeExpiry(ended []engine.RunEnd) {
	lastExpired := int64(0)
	for _, row := range ended {
		if row.Reason == engine.EndLeaseExpired {
			lastExpired = max(lastExpired, row.Sequence)
		}
	}
	for _, row := range ended {
		if row.Sequence < lastExpired {
			inc.voidEnds[row.Sequence] = true
		}
	}
}

// resolveStops finds the stopped runs that a look, asked for after their stop was
// confirmed, does not show.
func (inc *incarnation) resolveStops(polledAt time.Duration) {
	listed := engine.ListedRuns(inc.running, inc.ended)
	for run, confirmedAt := range inc.confirmedStops {
		if polledAt < confirmedAt {
			continue
		}
		if !listed[run] {
			inc.absent = append(inc.absent, run)
		}
		delete(inc.confirmedStops, run)
	}
}

// report returns the life as a report, and what of it is new since the last.
func (inc *incarnation) report(now time.Duration, epoch uint64) engine.Report {
	r := engine.Report{
		Worker:         inc.info,
		Draining:       inc.draining,
		Unresponsive:   inc.unresponsive,
		LeaseKnown:     inc.leaseEnd != 0,
		ExtendingLease: inc.unresponsive && inc.mayExtendLease(now),
	}
	if r.LeaseKnown {
		r.LeaseRemaining = inc.leaseEnd - now
	}
	if inc.draining {
		r.DrainRemaining = max(0, inc.departsAt-now)
	}
	if inc.confirmedFence.Epoch == epoch {
		r.Epoch = epoch
		r.Generation = inc.confirmedFence.Generation
	}
	if inc.unreportedPolls > 0 {
		inc.pollsInReport = inc.unreportedPolls
		r.Polled = true
		r.Running = inc.running
		r.Ended = inc.ended
		r.ConfirmedAbsent = inc.absent
	}
	return r
}

// clearReported forgets what a planner has taken.
func (inc *incarnation) clearReported(r engine.Report) {
	if !r.Polled {
		return
	}
	inc.unreportedPolls -= inc.pollsInReport
	inc.pollsInReport = 0
	inc.absent = inc.absent[min(len(r.ConfirmedAbsent), len(inc.absent)):]
}
