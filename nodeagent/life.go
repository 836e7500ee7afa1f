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
func (l *incarnation) raiseFence(f engine.Fence) bool {
	if f.Compare(l.fence) <= 0 {
		return false
	}
	l.fence = f
	return true
}

// workerTime turns a time on the agent's clock into one on the worker's. The worker's clock
// was read before readAt, so the result never lies beyond t.
func (l *incarnation) workerTime(t time.Duration) time.Duration {
	if !l.polled || t <= l.clockReadAt {
		return 0
	}
	return l.workerClock + t - l.clockReadAt
}

// extendLease notes that an order with a lease until t leaves.
func (l *incarnation) extendLease(t time.Duration) { l.leaseEnd = max(l.leaseEnd, t) }

// leaseExpiryMargin is how much later than reckoned a lease may lapse, since the worker's clock
// may be 2% slow over a lease of some seconds, and how much earlier, in transit.
const leaseExpiryMargin = 250 * time.Millisecond

// leaseMayHaveExpired says whether the lease may have lapsed and no look has shown yet what had ended
// before. Until one has, nothing extends the lease and nothing starts: of an end that was
// listed only after something ran again, nobody could tell whether it came before the
// lapse, and counts as not having been, or after it, and counts.
func (l *incarnation) leaseMayHaveExpired(now time.Duration) bool {
	return l.leaseEnd != 0 && l.surveyedLeaseEnd != l.leaseEnd && now > l.leaseEnd-leaseExpiryMargin
}

// applyStatus notes an answered look that was asked for at sent and came at now. before is the
// lease's end as it was when the look was sent. A look sent after that follows a lapse,
// so the ends that it shows and that nobody took note of count as not having been. Once
// the lease is extended again, a look that was sent before may show ends of later runs,
// which count. It returns false for an answer that tells nothing new.
func (l *incarnation) applyStatus(look WorkerStatus, sent, now, before time.Duration) bool {
	if before != 0 && sent > before+leaseExpiryMargin && l.leaseEnd == before {
		l.surveyedLeaseEnd = before
		for _, row := range look.Ended {
			l.voidEnds[row.Sequence] = true
		}
	}
	l.voidEndsBeforeExpiry(look.Ended)
	l.unresponsive = false
	if l.polled && (look.Clock < l.workerClock || look.Clock == l.workerClock && sent < l.polledAt) {
		return false // overtaken on its way by the answer to a later look
	}
	l.workerClock, l.clockReadAt, l.polledAt, l.polled = look.Clock, now, sent, true
	l.running = look.Running
	l.updateFirstSeen()
	l.ended = look.Ended
	for i := range l.ended {
		l.ended[i].Void = l.voidEnds[l.ended[i].Sequence]
	}
	l.unreportedPolls++
	l.resolveStops(sent)
	return true
}

// updateFirstSeen notes since when looks have shown what runs.
func (l *incarnation) updateFirstSeen() {
	from := make(map[workload.RunID]time.Duration, len(l.running))
	for _, row := range l.running {
		from[row.Run] = l.clockReadAt
		if before, shown := l.firstSeen[row.Run]; shown {
			from[row.Run] = before
		}
	}
	l.firstSeen = from
}

// pastStartup returns the runs that looks had shown for long enough to tell that they did not
// crash the worker by their start.
func (l *incarnation) pastStartup() []engine.RunStatus {
	var out []engine.RunStatus
	for _, row := range l.running {
		if l.clockReadAt-l.firstSeen[row.Run] >= engine.StartupCrashWindow {
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
func (l *incarnation) voidEndsBeforeExpiry(ended []engine.RunEnd) {
	lapsed := int64(0)
	for _, row := range ended {
		if row.Reason == engine.EndLeaseExpired {
			lapsed = max(lapsed, row.Sequence)
		}
	}
	for _, row := range ended {
		if row.Sequence < lapsed {
			l.voidEnds[row.Sequence] = true
		}
	}
}

// resolveStops finds the stopped runs that a look, asked for after their stop was
// confirmed, does not show.
func (l *incarnation) resolveStops(sent time.Duration) {
	shown := engine.ListedRuns(l.running, l.ended)
	for run, at := range l.confirmedStops {
		if sent < at {
			continue
		}
		if !shown[run] {
			l.absent = append(l.absent, run)
		}
		delete(l.confirmedStops, run)
	}
}

// report returns the life as a report, and what of it is new since the last.
func (l *incarnation) report(now time.Duration, epoch uint64) engine.Report {
	r := engine.Report{
		Worker:         l.info,
		Draining:       l.draining,
		Unresponsive:   l.unresponsive,
		LeaseKnown:     l.leaseEnd != 0,
		ExtendingLease: l.unresponsive && l.mayExtendLease(now),
	}
	if r.LeaseKnown {
		r.LeaseRemaining = l.leaseEnd - now
	}
	if l.draining {
		r.DrainRemaining = max(0, l.departsAt-now)
	}
	if l.confirmedFence.Epoch == epoch {
		r.Epoch = epoch
		r.Generation = l.confirmedFence.Generation
	}
	if l.unreportedPolls > 0 {
		l.pollsInReport = l.unreportedPolls
		r.Polled = true
		r.Running = l.running
		r.Ended = l.ended
		r.ConfirmedAbsent = l.absent
	}
	return r
}

// clearReported forgets what a planner has taken.
func (l *incarnation) clearReported(r engine.Report) {
	if !r.Polled {
		return
	}
	l.unreportedPolls -= l.pollsInReport
	l.pollsInReport = 0
	l.absent = l.absent[min(len(r.ConfirmedAbsent), len(l.absent)):]
}
