package admission

import "time"

// fullMarkFactor is the multiple of the target sojourn time from which every reply
// is marked; the share of marked replies grows linearly up to there.
const fullMarkFactor = 2.5

// minTargetSojourn bounds the target sojourn time from below, where timers and
// scheduling of the machine would count as congestion.
const minTargetSojourn = 5 * time.Millisecond

// targetSojourn is the sojourn time aimed at. It follows the service time: a fixed time
// would call a service of slow requests congested whenever one waits.
func (q *Queue) targetSojourn() time.Duration {
	return max(minTargetSojourn, time.Duration(q.options.TargetSojourn*float64(q.serviceTimes.mean())))
}

func (q *Queue) congestionInterval() time.Duration {
	return time.Duration(q.options.CongestionInterval * float64(q.targetSojourn()))
}

// recordWait takes the wait of a request that starts.
func (q *Queue) recordWait(now time.Time, a *account, wait time.Duration) {
	a.congestion.recordStart(now, wait, q.targetSojourn())
	q.lastWait = wait
}

// isShedding reports whether the account's queue is in lasting congestion.
func (q *Queue) isShedding(now time.Time, a *account) bool {
	return q.options.CongestionControl != NoControl && a.congestion.phase(now, q.congestionInterval()) == lastingCongestion
}

// Load returns what to report with a reply. The mark is that of the last request
// that finished. Load changes nothing.
func (q *Queue) Load(now time.Time) Load {
	l := Load{Running: q.running, Queued: q.queued, Slots: q.options.Slots, Marked: q.lastMarked, Draining: q.draining}
	for _, a := range q.accounts.waiting {
		l.Shedding = l.Shedding || q.isShedding(now, a)
	}
	l.RetryAfter = q.retryAfter()
	return l
}

// nextMark decides whether the reply of a finished request carries a nextMark. The share of marked replies grows
// with the sojourn time; the fractions add up to whole marks, so that no random
// number is needed.
func (q *Queue) nextMark() bool {
	if q.options.CongestionControl != MarkAndShed {
		return false
	}
	targetSojourn := float64(q.targetSojourn())
	share := (float64(q.lastWait) - targetSojourn) / ((fullMarkFactor - 1) * targetSojourn)
	q.markCredit += min(1, max(0, share))
	if q.markCredit < 1 {
		return false
	}
	q.markCredit--
	return true
}
