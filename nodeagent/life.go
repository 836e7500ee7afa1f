package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// life is what the agent knows of one life of its worker. The agent's mutex guards it.
type life struct {
	info     engine.WorkerInfo
	sequence int64
	draining bool
	leavesAt time.Duration

	// clock was the worker's own at some time up to readAt.
	clock  time.Duration
	readAt time.Duration
	// askedAt is when the last look was asked for.
	askedAt time.Duration
	known   bool
	// leaseEnd is the latest time, on the agent's clock, to which the lease may have
	// been extended by any order sent, answered or not.
	leaseEnd time.Duration
	// surveyed is the leaseEnd after whose lapse a look has shown every end there was.
	surveyed time.Duration
	// fence is what orders carry, fenced the highest that the worker certainly has seen.
	fence  engine.Fence
	fenced engine.Fence
	seen   int64 // ends that may be forgotten
	// acknowledged are those of which the worker has certainly heard so.
	acknowledged int64
	// closely: the planner wants looks more often.
	closely bool

	// hurriedAt is when a look was last made out of turn to renew the lease.
	hurriedAt time.Duration
	failing   bool // the last look got no answer
	// failingFrom is when looks began to get none, failureTold when a report was last called
	// for since that was so.
	failingFrom time.Duration
	failureTold time.Duration
	running     []engine.RunStatus
	// shownFrom is when a look first showed each of them.
	shownFrom map[workload.RunID]time.Duration
	ended     []engine.RunEnd
	void      map[int64]bool // ends that came before a lapse of the lease
	// stopped are runs whose stop was confirmed, with the time of the confirmation.
	stopped map[workload.RunID]time.Duration
	absent  []workload.RunID
	looks   int // answered looks that no planner has taken yet
	// passedOver: the last answer was taken for an older one than the last but one.
	passedOver bool
	// reporting is how many of them the report on its way tells of. A look that was
	// told once must not count again: it says nothing of runs that began after it.
	reporting int
}

func newLife(info engine.WorkerInfo) *life {
	return &life{info: info, void: map[int64]bool{}, stopped: map[workload.RunID]time.Duration{}}
}

// raise makes later orders carry a fence, and returns false where they carry one as high.
func (l *life) raise(f engine.Fence) bool {
	if f.Compare(l.fence) <= 0 {
		return false
	}
	l.fence = f
	return true
}

// until turns a time on the agent's clock into one on the worker's. The worker's clock
// was read before readAt, so the result never lies beyond t.
func (l *life) until(t time.Duration) time.Duration {
	if !l.known || t <= l.readAt {
		return 0
	}
	return l.clock + t - l.readAt
}

// extend notes that an order with a lease until t leaves.
func (l *life) extend(t time.Duration) { l.leaseEnd = max(l.leaseEnd, t) }

// lapseSlack is how much later than reckoned a lease may lapse, since the worker's clock
// may be 2% slow over a lease of some seconds, and how much earlier, in transit.
const lapseSlack = 250 * time.Millisecond

// lapsing says whether the lease may have lapsed and no look has shown yet what had ended
// before. Until one has, nothing extends the lease and nothing starts: of an end that was
// listed only after something ran again, nobody could tell whether it came before the
// lapse, and counts as not having been, or after it, and counts.
func (l *life) lapsing(now time.Duration) bool {
	return l.leaseEnd != 0 && l.surveyed != l.leaseEnd && now > l.leaseEnd-lapseSlack
}

// take notes an answered look that was asked for at sent and came at now. before is the
// lease's end as it was when the look was sent. A look sent after that follows a lapse,
// so the ends that it shows and that nobody took note of count as not having been. Once
// the lease is extended again, a look that was sent before may show ends of later runs,
// which count. It returns false for an answer that tells nothing new.
func (l *life) take(look WorkerStatus, sent, now, before time.Duration) bool {
	if before != 0 && sent > before+lapseSlack && l.leaseEnd == before {
		l.surveyed = before
		for _, row := range look.Ended {
			l.void[row.Sequence] = true
		}
	}
	l.voidBeforeLapse(look.Ended)
	l.failing = false
	if l.known && (look.Clock < l.clock || look.Clock == l.clock && sent < l.askedAt) {
		return false // overtaken on its way by the answer to a later look
	}
	l.clock, l.readAt, l.askedAt, l.known = look.Clock, now, sent, true
	l.running = look.Running
	l.noteShown()
	l.ended = look.Ended
	for i := range l.ended {
		l.ended[i].Void = l.void[l.ended[i].Sequence]
	}
	l.looks++
	l.settleStops(sent)
	return true
}

// noteShown notes since when looks have shown what runs.
func (l *life) noteShown() {
	from := make(map[workload.RunID]time.Duration, len(l.running))
	for _, row := range l.running {
		from[row.Run] = l.readAt
		if before, shown := l.shownFrom[row.Run]; shown {
			from[row.Run] = before
		}
	}
	l.shownFrom = from
}

// proven returns the runs that looks had shown for long enough to tell that they did not
// crash the worker by their start.
func (l *life) proven() []engine.RunStatus {
	var out []engine.RunStatus
	for _, row := range l.running {
		if l.readAt-l.shownFrom[row.Run] >= engine.StartupCrashWindow {
			out = append(out, engine.RunStatus{Run: row.Run})
		}
	}
	return out
}

// voidBeforeLapse marks the ends that are listed before a run that lapsed: the lease ran
// out between them and this look, so they count as not having been.
//
// The failure it guards against: an agent that was away for longer than the lease, and was
// started again, knows nothing of the lease. It would report a task as done that the
// planner, to which the lease has lapsed, starts elsewhere.
func (l *life) voidBeforeLapse(ended []engine.RunEnd) {
	lapsed := int64(0)
	for _, row := range ended {
		if row.Reason == engine.EndLeaseExpired {
			lapsed = max(lapsed, row.Sequence)
		}
	}
	for _, row := range ended {
		if row.Sequence < lapsed {
			l.void[row.Sequence] = true
		}
	}
}

// settleStops finds the stopped runs that a look, asked for after their stop was
// confirmed, does not show.
func (l *life) settleStops(sent time.Duration) {
	shown := engine.ListedRuns(l.running, l.ended)
	for run, at := range l.stopped {
		if sent < at {
			continue
		}
		if !shown[run] {
			l.absent = append(l.absent, run)
		}
		delete(l.stopped, run)
	}
}

// report returns the life as a report, and what of it is new since the last.
func (l *life) report(now time.Duration, epoch uint64) engine.Report {
	r := engine.Report{
		Worker:         l.info,
		Draining:       l.draining,
		Unresponsive:   l.failing,
		LeaseKnown:     l.leaseEnd != 0,
		ExtendingLease: l.failing && l.extending(now),
	}
	if r.LeaseKnown {
		r.LeaseRemaining = l.leaseEnd - now
	}
	if l.draining {
		r.DrainRemaining = max(0, l.leavesAt-now)
	}
	if l.fenced.Epoch == epoch {
		r.Epoch = epoch
		r.Generation = l.fenced.Generation
	}
	if l.looks > 0 {
		l.reporting = l.looks
		r.Polled = true
		r.Running = l.running
		r.Ended = l.ended
		r.ConfirmedAbsent = l.absent
	}
	return r
}

// reported forgets what a planner has taken.
func (l *life) reported(r engine.Report) {
	if !r.Polled {
		return
	}
	l.looks -= l.reporting
	l.reporting = 0
	l.absent = l.absent[min(len(r.ConfirmedAbsent), len(l.absent)):]
}
