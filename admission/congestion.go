package admission

import "time"

// markRange is the multiple of the target sojourn time from which every reply
// is marked; the share of marked replies grows linearly up to there.
const markRange = 2.5

// minTarget bounds the target sojourn time from below, where timers and
// scheduling of the machine would count as congestion.
const minTarget = 5 * time.Millisecond

// target is the sojourn time aimed at. It follows the service time: a fixed time
// would call a service of slow requests congested whenever one waits.
func (q *Queue) target() time.Duration {
	return max(minTarget, time.Duration(q.options.TargetSojourn*float64(q.costs.mean())))
}

func (q *Queue) interval() time.Duration {
	return time.Duration(q.options.CongestionInterval * float64(q.target()))
}

// observe takes the wait of a request that starts.
func (q *Queue) observe(now time.Time, a *account, wait time.Duration) {
	a.sojourn.started(now, wait, q.target())
	q.wait = wait
}

// sheds reports whether the account's queue is in lasting congestion.
func (q *Queue) sheds(now time.Time, a *account) bool {
	return q.options.CongestionControl != NoControl && a.sojourn.phase(now, q.interval()) == lasting
}

// Load returns what to report with a reply. The mark is that of the last request
// that finished. Load changes nothing.
func (q *Queue) Load(now time.Time) Load {
	l := Load{Running: q.running, Queued: q.queued, Slots: q.options.Slots, Marked: q.marked, Draining: q.draining}
	for _, a := range q.members.waiting {
		l.Shedding = l.Shedding || q.sheds(now, a)
	}
	l.RetryAfter = q.retryAfter()
	return l
}

// mark decides whether the reply of a finished request carries a mark. The share of marked replies grows
// with the sojourn time; the fractions add up to whole marks, so that no random
// number is needed.
func (q *Queue) mark() bool {
	if q.options.CongestionControl != MarkAndShed {
		return false
	}
	target := float64(q.target())
	share := (float64(q.wait) - target) / ((markRange - 1) * target)
	q.marks += min(1, max(0, share))
	if q.marks < 1 {
		return false
	}
	q.marks--
	return true
}
