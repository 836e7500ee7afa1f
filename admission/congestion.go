package admission

import "time"

// markRange is the multiple of the target sojourn time from which every reply
// is marked; the share of marked replies grows linearly up to there.
const markRange = 2.5

// observe takes the wait of a request that starts.
func (q *Queue) observe(now time.Time, a *account, wait time.Duration) {
	a.sojourn.started(now, wait, q.options.Target)
	q.wait = wait
}

// sheds reports whether the account's queue is in lasting congestion.
func (q *Queue) sheds(now time.Time, a *account) bool {
	return q.options.Control != NoControl && a.sojourn.phase(now, q.options.Interval) == lasting
}

// Load returns what to report with one reply. Call it once for each reply: it
// counts out the marks.
func (q *Queue) Load(now time.Time) Load {
	l := Load{Running: q.running, Queued: q.queued, Slots: q.options.Slots, Draining: q.draining}
	for _, a := range q.accounts {
		l.Shedding = l.Shedding || q.sheds(now, a)
	}
	l.Marked = q.mark()
	l.RetryAfter = q.retryAfter()
	return l
}

// mark decides whether a reply carries a mark. The share of marked replies grows
// with the sojourn time; the fractions add up to whole marks, so that no random
// number is needed.
func (q *Queue) mark() bool {
	if q.options.Control != TwoPhase {
		return false
	}
	target := float64(q.options.Target)
	share := (float64(q.wait) - target) / ((markRange - 1) * target)
	q.marks += min(1, max(0, share))
	if q.marks < 1 {
		return false
	}
	q.marks--
	return true
}
