package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// incarnation is the agent's state of one incarnation of its worker. The agent's mutex guards
// it.
type incarnation struct {
	info      engine.WorkerInfo
	sequence  int64
	draining  bool
	departsAt time.Duration
	// leaving is set by the departure notice, which a worker sends before it ends.
	leaving bool

	// workerClock is the worker's clock at some time up to clockReadAt.
	workerClock time.Duration
	clockReadAt time.Duration
	// polledAt is when the last accepted poll was sent.
	polledAt time.Duration
	// polled is set once a poll has been answered.
	polled bool
	// leaseEnd is the latest time, on the agent's clock, to which any order that was sent may
	// have extended the lease, whether answered or not.
	leaseEnd time.Duration
	// leaseDrift is how much later the lease may end if the worker's clock is slow: it may have been
	// read long before the lease was extended.
	leaseDrift time.Duration
	// surveyedLeaseEnd is the last leaseEnd for which a poll after its expiry has returned all
	// earlier ends.
	surveyedLeaseEnd time.Duration
	// fence is carried by orders; confirmedFence is the highest one that the worker has
	// certainly seen.
	fence          engine.Fence
	confirmedFence engine.Fence
	recordedEnds   int64 // ends up to this number are recorded and may be acknowledged
	// ackedEnds is the highest number that the worker has certainly received as acknowledged.
	ackedEnds int64
	// pollOften is set if the planner asks for frequent polls.
	pollOften bool

	// extraPollAt is when the last extra poll was sent to renew the lease.
	extraPollAt time.Duration
	// capacityUnconfirmed is set while no heartbeat has arrived since the last poll without an answer. The
	// worker may have lost capacity while it was silent.
	capacityUnconfirmed bool
	unresponsive        bool // the last poll got no answer
	// unresponsiveSince is when polls began to fail, and failureReportedAt when a report on
	// that was last requested.
	unresponsiveSince time.Duration
	failureReportedAt time.Duration
	// connectionLostAt is when the connection to the unresponsive worker was first lost; 0 if it
	// was not.
	connectionLostAt time.Duration
	// connectionBroken is set if an open connection to the worker broke, until it answers again.
	connectionBroken bool
	pollsInProgress  int
	running          []engine.RunStatus
	// firstSeen is when a poll first returned each running run.
	firstSeen   map[workload.RunID]time.Duration
	ended       []engine.RunEnd
	endsOmitted bool           // there may be more ends than ended lists
	voidEnds    map[int64]bool // sequence numbers of ends before an expiry of the lease
	// confirmedStops are runs whose stop was confirmed, with the time of the confirmation.
	confirmedStops  map[workload.RunID]time.Duration
	absent          []workload.RunID
	unreportedPolls int // answered polls not yet reported to a planner
	// lastAnswerStale is set if the last answer was discarded as older than an earlier one.
	lastAnswerStale bool
	// pollsInReport is how many of unreportedPolls the report in progress covers. A reported poll
	// must not be counted again, since it does not cover runs that started after it.
	pollsInReport int
}

func newIncarnation(info engine.WorkerInfo) *incarnation {
	return &incarnation{info: info, voidEnds: map[int64]bool{}, confirmedStops: map[workload.RunID]time.Duration{}}
}

// raiseFence raises the fence of later orders to f. It returns false if it is already as high.
func (inc *incarnation) raiseFence(f engine.Fence) bool {
	if f.Compare(inc.fence) <= 0 {
		return false
	}
	inc.fence = f
	return true
}

// workerTime converts a time on the agent's clock to the worker's clock. The worker's clock was
// read at or before clockReadAt, so the result is never later than t.
func (inc *incarnation) workerTime(t time.Duration) time.Duration {
	if !inc.polled || t <= inc.clockReadAt {
		return 0
	}
	return inc.workerClock + t - inc.clockReadAt
}

// extendLease records that an order with a lease until t is about to be sent.
func (inc *incarnation) extendLease(t time.Duration) {
	drift := time.Duration(0)
	if inc.polled {
		drift = engine.WithClockDrift(t-inc.clockReadAt) - (t - inc.clockReadAt)
	}
	latest := max(inc.latestLeaseEnd(), t+drift)
	inc.leaseEnd = max(inc.leaseEnd, t)
	inc.leaseDrift = latest - inc.leaseEnd
}

// latestLeaseEnd returns the latest time at which the lease may end.
func (inc *incarnation) latestLeaseEnd() time.Duration { return inc.leaseEnd + inc.leaseDrift }

// leaseExpiryMargin is the uncertainty of the expiry time besides the drift of the worker's clock:
// the lease may expire earlier because of network delay.
const leaseExpiryMargin = 250 * time.Millisecond

// leaseMayHaveExpired reports whether the lease may have expired without a poll since then that
// returned all earlier ends. Until such a poll, nothing extends the lease and nothing starts;
// otherwise an end that is listed later could be from before the expiry, and void, or from
// after it.
func (inc *incarnation) leaseMayHaveExpired(now time.Duration) bool {
	return inc.leaseEnd != 0 && inc.surveyedLeaseEnd != inc.leaseEnd && now > inc.leaseEnd-leaseExpiryMargin
}

// applyStatus applies the answer to a poll that was sent at sentAt, when the lease end was
// leaseEndAtSend. Ends returned by a poll that was sent after the lease expired are void,
// unless the lease was extended meanwhile: the answer may then include ends of later runs. It
// returns false for an outdated answer.
func (inc *incarnation) applyStatus(status WorkerStatus, sentAt, receivedAt, leaseEndAtSend time.Duration) bool {
	if leaseEndAtSend != 0 && inc.leaseEnd == leaseEndAtSend && sentAt > inc.latestLeaseEnd()+leaseExpiryMargin {
		if !status.EndsOmitted {
			inc.surveyedLeaseEnd = leaseEndAtSend
		}
		for _, end := range status.Ended {
			inc.voidEnds[end.Sequence] = true
		}
	}
	inc.voidEndsBeforeExpiry(status.Ended)
	inc.unresponsive = false
	inc.connectionLostAt, inc.connectionBroken = 0, false
	if inc.polled && (status.Clock < inc.workerClock || status.Clock == inc.workerClock && sentAt < inc.polledAt) {
		return false // reordered: a later poll was answered first
	}
	inc.workerClock, inc.clockReadAt, inc.polledAt, inc.polled = status.Clock, receivedAt, sentAt, true
	inc.running = status.Running
	inc.updateFirstSeen()
	inc.ended, inc.endsOmitted = status.Ended, status.EndsOmitted
	for i := range inc.ended {
		inc.ended[i].Void = inc.voidEnds[inc.ended[i].Sequence]
	}
	inc.unreportedPolls++
	if !status.EndsOmitted { // else a run that is not listed may have ended
		inc.resolveStops(sentAt)
	}
	return true
}

// updateFirstSeen records since when polls have returned each running run.
func (inc *incarnation) updateFirstSeen() {
	firstSeen := make(map[workload.RunID]time.Duration, len(inc.running))
	for _, running := range inc.running {
		firstSeen[running.Run] = inc.clockReadAt
		if earlier, seen := inc.firstSeen[running.Run]; seen {
			firstSeen[running.Run] = earlier
		}
	}
	inc.firstSeen = firstSeen
}

// pastStartup returns the runs that have been seen running for engine.StartupCrashWindow, so
// that their start did not crash the worker.
func (inc *incarnation) pastStartup() []engine.RunStatus {
	var out []engine.RunStatus
	for _, running := range inc.running {
		if inc.clockReadAt-inc.firstSeen[running.Run] >= engine.StartupCrashWindow {
			out = append(out, engine.RunStatus{Run: running.Run})
		}
	}
	return out
}

// voidEndsBeforeExpiry voids ends that are listed before a run that ended by lease expiry.
//
// An agent that was away for longer than the lease and was restarted does not know that the
// lease expired. Without this check it would report as done a task that the planner, for which
// the lease has expired, restarts elsewhere. An expiry that the worker lists behind omitted ends is not
// seen; the ends then count, for placements that the planner has not given up.
func (inc *incarnation) voidEndsBeforeExpiry(ended []engine.RunEnd) {
	lastExpired := int64(0)
	for _, end := range ended {
		if end.Reason == engine.EndLeaseExpired {
			lastExpired = max(lastExpired, end.Sequence)
		}
	}
	for _, end := range ended {
		if end.Sequence < lastExpired {
			inc.voidEnds[end.Sequence] = true
		}
	}
}

// resolveStops finds stopped runs that are not listed by a poll sent after their stop was
// confirmed.
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

// report returns a report of the incarnation, with the last poll if it is unreported.
func (inc *incarnation) report(now time.Duration, epoch uint64) engine.Report {
	r := engine.Report{
		Worker:         inc.info,
		Draining:       inc.draining,
		Unresponsive:   inc.unresponsive,
		LeaseKnown:     inc.leaseEnd != 0,
		ExtendingLease: inc.unresponsive && inc.mayExtendLease(now),

		CapacityUnconfirmed: inc.capacityUnconfirmed,
	}
	if r.LeaseKnown {
		r.LeaseRemaining = inc.latestLeaseEnd() - now
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
		r.Ended, r.EndsOmitted = inc.ended, inc.endsOmitted
		r.ConfirmedAbsent = inc.absent
	}
	return r
}

// clearReported removes what a planner has received with report r.
func (inc *incarnation) clearReported(r engine.Report) {
	if !r.Polled {
		return
	}
	inc.unreportedPolls -= inc.pollsInReport
	inc.pollsInReport = 0
	inc.absent = inc.absent[min(len(r.ConfirmedAbsent), len(inc.absent)):]
}
