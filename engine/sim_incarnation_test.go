package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// simIncarnation is an agent's state of one incarnation of its worker, as in package nodeagent.
type simIncarnation struct {
	worker                         *simWorker
	info                           WorkerInfo
	draining                       bool
	departsAt                      time.Duration
	workerClock, clockReadAt       time.Duration
	polledAt                       time.Duration
	polled                         bool
	leaseEnd                       time.Duration // the latest end that any order may have set
	surveyedLeaseEnd               time.Duration
	fence, confirmedFence          Fence
	recordedEnds, ackedEnds        int64
	extraPollAt                    time.Duration
	leaving                        bool // it has sent its departure notice
	connectionBroken               bool // an open connection broke
	pollsInProgress                int
	capacityUnconfirmed            bool
	unresponsive                   bool
	unresponsiveSince              time.Duration
	failureReportedAt              time.Duration
	connectionLostAt               time.Duration
	running                        []RunStatus
	firstSeen                      map[workload.RunID]time.Duration
	ended                          []RunEnd
	endsOmitted                    bool // there may be more ends
	voidEnds                       map[int64]bool
	confirmedStops                 map[workload.RunID]time.Duration
	absent                         []workload.RunID
	unreportedPolls, pollsInReport int
}

// The constants of package nodeagent.
const (
	simLeaseExpiryMargin    = 250 * time.Millisecond
	simLeaseExtensionPeriod = 2 * time.Second
	simRenewalThreshold     = 3 * time.Second
	simMinExtraPollInterval = 100 * time.Millisecond
)

func newSimIncarnation(sw *simWorker) *simIncarnation {
	return &simIncarnation{
		worker: sw, info: sw.info, draining: sw.leavesAt != 0, departsAt: sw.leavesAt,
		voidEnds: map[int64]bool{}, confirmedStops: map[workload.RunID]time.Duration{},
	}
}

func (inc *simIncarnation) raiseFence(f Fence) bool {
	if f.Compare(inc.fence) <= 0 {
		return false
	}
	inc.fence = f
	return true
}

// workerTime converts a time to the worker's clock, and never to a later time.
func (inc *simIncarnation) workerTime(t time.Duration) time.Duration {
	if !inc.polled || t <= inc.clockReadAt {
		return 0
	}
	return inc.workerClock + t - inc.clockReadAt
}

func (inc *simIncarnation) extendLease(t time.Duration) { inc.leaseEnd = max(inc.leaseEnd, t) }

func (inc *simIncarnation) leaseMayHaveExpired(now time.Duration) bool {
	return inc.leaseEnd != 0 && inc.surveyedLeaseEnd != inc.leaseEnd && now > inc.leaseEnd-simLeaseExpiryMargin
}

func (inc *simIncarnation) mayExtendLease(now time.Duration) bool {
	return !inc.leaving && (!inc.unresponsive || now-inc.unresponsiveSince < simLeaseExtensionPeriod)
}

// markUnresponsive records that the worker does not answer.
func (inc *simIncarnation) markUnresponsive(now time.Duration) {
	inc.unresponsive, inc.unresponsiveSince = true, now
	inc.failureReportedAt = now - simUnresponsivePollInterval
	if inc.info.Name != "" {
		inc.fence.Generation++
	}
}

// pollIntervalUnresponsive returns the pause between polls of an unresponsive worker.
func (inc *simIncarnation) pollIntervalUnresponsive(now time.Duration) time.Duration {
	if (inc.info.Name != "" || inc.leaving) && now-inc.unresponsiveSince < simRestartPollPeriod {
		return simRestartPollInterval
	}
	return simUnresponsivePollInterval
}

func (inc *simIncarnation) claimExtraPoll(now time.Duration) bool {
	if inc.unresponsive || inc.leaving || inc.leaseEnd == 0 || inc.leaseEnd-now >= simRenewalThreshold || now-inc.extraPollAt < simMinExtraPollInterval {
		return false
	}
	inc.extraPollAt = now
	return true
}

func (inc *simIncarnation) nextAck() int64 {
	if inc.unresponsive || inc.recordedEnds <= inc.ackedEnds {
		return 0
	}
	return inc.recordedEnds
}

// applyStatus applies the answer to a poll that was sent at sentAt, when the lease end was
// leaseEndAtSend. It returns false for an outdated answer.
func (inc *simIncarnation) applyStatus(status simStatus, sentAt, receivedAt, leaseEndAtSend time.Duration) bool {
	if leaseEndAtSend != 0 && sentAt > leaseEndAtSend+simLeaseExpiryMargin && inc.leaseEnd == leaseEndAtSend {
		if !status.endsOmitted {
			inc.surveyedLeaseEnd = leaseEndAtSend
		}
		for _, end := range status.ended {
			inc.voidEnds[end.Sequence] = true
		}
	}
	inc.voidEndsBeforeExpiry(status.ended)
	inc.unresponsive = false
	inc.connectionLostAt, inc.connectionBroken = 0, false
	if inc.polled && (status.clock < inc.workerClock || status.clock == inc.workerClock && sentAt < inc.polledAt) {
		return false
	}
	inc.workerClock, inc.clockReadAt, inc.polledAt, inc.polled = status.clock, receivedAt, sentAt, true
	inc.running = status.running
	inc.updateFirstSeen()
	inc.ended, inc.endsOmitted = slices.Clone(status.ended), status.endsOmitted
	for i := range inc.ended {
		inc.ended[i].Void = inc.voidEnds[inc.ended[i].Sequence]
	}
	inc.unreportedPolls++
	if !status.endsOmitted {
		inc.resolveStops(sentAt)
	}
	return true
}

// leave records a departure notice. The worker ends some time later.
func (inc *simIncarnation) leave(now time.Duration) {
	if inc.leaving {
		return
	}
	inc.leaving, inc.draining, inc.departsAt = true, true, now
	if inc.leaseEnd == 0 {
		inc.extendLease(now + simMaxLease)
	}
}

// hasLeft reports whether a leaving worker has ended when a poll fails with err.
func (inc *simIncarnation) hasLeft(err error, now time.Duration) bool {
	if !inc.leaving {
		return false
	}
	closed := inc.connectionBroken && inc.pollsInProgress == 0 && err == errSimConnectionRefused
	return closed || now > inc.leaseEnd+simLeaseExpiryMargin
}

func (inc *simIncarnation) updateFirstSeen() {
	firstSeen := map[workload.RunID]time.Duration{}
	for _, running := range inc.running {
		firstSeen[running.Run] = inc.clockReadAt
		if earlier, seen := inc.firstSeen[running.Run]; seen {
			firstSeen[running.Run] = earlier
		}
	}
	inc.firstSeen = firstSeen
}

func (inc *simIncarnation) pastStartup() []RunStatus {
	var out []RunStatus
	for _, running := range inc.running {
		if inc.clockReadAt-inc.firstSeen[running.Run] >= StartupCrashWindow {
			out = append(out, RunStatus{Run: running.Run})
		}
	}
	return out
}

func (inc *simIncarnation) voidEndsBeforeExpiry(ended []RunEnd) {
	lastExpired := int64(0)
	for _, end := range ended {
		if end.Reason == EndLeaseExpired {
			lastExpired = max(lastExpired, end.Sequence)
		}
	}
	for _, end := range ended {
		if end.Sequence < lastExpired {
			inc.voidEnds[end.Sequence] = true
		}
	}
}

// resolveStops finds stopped runs that a poll sent after the confirmation of their stop does not list.
func (inc *simIncarnation) resolveStops(polledAt time.Duration) {
	listed := ListedRuns(inc.running, inc.ended)
	var resolved []workload.RunID
	for run, confirmedAt := range inc.confirmedStops {
		if polledAt >= confirmedAt {
			resolved = append(resolved, run)
		}
	}
	slices.SortFunc(resolved, func(a, b workload.RunID) int { return compareTasks(a.Task, b.Task) })
	for _, run := range resolved {
		if !listed[run] {
			inc.absent = append(inc.absent, run)
		}
		delete(inc.confirmedStops, run)
	}
}

// report returns a report of the incarnation, with the last poll if it is unreported.
func (inc *simIncarnation) report(now time.Duration, epoch uint64) Report {
	r := Report{
		Worker: inc.info, Draining: inc.draining, Unresponsive: inc.unresponsive,
		LeaseKnown:     inc.leaseEnd != 0,
		ExtendingLease: inc.unresponsive && inc.mayExtendLease(now),

		CapacityUnconfirmed: inc.capacityUnconfirmed,
	}
	if r.LeaseKnown {
		r.LeaseRemaining = inc.leaseEnd - now
	}
	if inc.draining {
		r.DrainRemaining = max(0, inc.departsAt-now)
	}
	if inc.confirmedFence.Epoch == epoch {
		r.Epoch, r.Generation = epoch, inc.confirmedFence.Generation
	}
	if inc.unreportedPolls > 0 {
		inc.pollsInReport = inc.unreportedPolls
		r.Polled, r.Running, r.Ended, r.EndsOmitted, r.ConfirmedAbsent = true, inc.running, inc.ended, inc.endsOmitted, inc.absent
	}
	return r
}

// clearReported removes what a planner has received with report r.
func (inc *simIncarnation) clearReported(r Report) {
	if !r.Polled {
		return
	}
	inc.unreportedPolls -= inc.pollsInReport
	inc.pollsInReport = 0
	inc.absent = inc.absent[min(len(r.ConfirmedAbsent), len(inc.absent)):]
}
