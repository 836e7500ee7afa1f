package admission

import "time"

// fullMarkFactor is the multiple of the target sojourn time from which every reply
// is marked. Between the target and that point the share of marked replies grows
// linearly.
const fullMarkFactor = 2.5

// minTargetSojourn is the lower bound of the target sojourn time. Below it, timer
// and scheduling delays would count as congestion.
const minTargetSojourn = 5 * time.Millisecond

// targetSojourn returns the time that requests should wait at most. It is a
// multiple of the mean service time: with a fixed target, a service with slow
// requests would be congested whenever one of them waits.
func (q *Queue) targetSojourn() time.Duration {
	return max(minTargetSojourn, time.Duration(q.options.TargetSojourn*float64(q.serviceTimes.mean())))
}

// congestionInterval returns the time after which congestion counts as lasting.
func (q *Queue) congestionInterval() time.Duration {
	return time.Duration(q.options.CongestionInterval * float64(q.targetSojourn()))
}

// recordWait records how long a request waited that starts now.
func (q *Queue) recordWait(now time.Time, a *account, wait time.Duration) {
	a.congestion.recordStart(now, wait, q.targetSojourn())
	q.lastWait = wait
}

// isShedding reports whether requests of the account are shed because its queue is
// in lasting congestion.
func (q *Queue) isShedding(now time.Time, a *account) bool {
	return q.options.CongestionControl != NoControl && a.congestion.phase(now, q.congestionInterval()) == lastingCongestion
}

// Load returns the report to send with a reply. Marked is that of the last request
// that finished. Load does not change the queue.
func (q *Queue) Load(now time.Time) Load {
	l := Load{Running: q.running, Queued: q.queued, Slots: q.options.Slots, Marked: q.lastMarked, Draining: q.draining}
	for _, a := range q.accounts.waiting {
		l.Shedding = l.Shedding || q.isShedding(now, a)
	}
	l.RetryAfter = q.retryAfter()
	return l
}

// nextMark decides whether the reply of a finished request carries a congestion
// mark. The probability of a mark accumulates in markCredit, so that the right
// share of replies is marked without random numbers.
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
