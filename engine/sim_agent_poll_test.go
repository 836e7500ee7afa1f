package engine

import (
	"errors"
	"time"
)

// simStatus is a worker's answer to a poll.
type simStatus struct {
	running []RunStatus
	ended   []RunEnd
	clock   time.Duration
	// endsOmitted means that there may be more ends than ended lists.
	endsOmitted bool
}

// The failures of calls to a worker.
var (
	errSimTimeout           = errors.New("no answer")
	errSimConnectionLost    = errors.New("connection lost")
	errSimConnectionRefused = errors.New("connection refused")
	errSimFenced            = errors.New("fenced")
	errSimOtherIncarnation  = errors.New("another incarnation answered")
	errSimSuperseded        = errors.New("another incarnation answered under the same name")
)

// The constants of package nodeagent.
const (
	simPollWait                 = time.Second
	simPollTimeoutMargin        = 600 * time.Millisecond
	simUnresponsivePollInterval = 250 * time.Millisecond
	simMinPollInterval          = 25 * time.Millisecond
	simRestartPollInterval      = 10 * time.Millisecond
	simRestartPollPeriod        = 3 * time.Second
)

// pollLoop polls the worker continuously, which renews its lease.
func (a *simAgent) pollLoop() {
	if a.inc == nil {
		a.after(20*time.Millisecond, a.pollLoop)
		return
	}
	a.poll(a.inc, simPollWait, func(pause time.Duration) { a.after(max(pause, simStep), a.pollLoop) })
}

// pollNow starts a poll that returns at once, in addition to the one in progress.
func (a *simAgent) pollNow() {
	if a.inc != nil {
		a.poll(a.inc, 0, func(time.Duration) {})
	}
}

// poll polls the worker once and passes on the pause before the next poll.
func (a *simAgent) poll(inc *simIncarnation, wait time.Duration, then func(pause time.Duration)) {
	now := a.cluster.now
	inc.pollsInProgress++
	p := simPoll{fence: inc.fence, ack: inc.nextAck(), wait: wait}
	sentAt, leaseEnd := now, inc.leaseEnd
	mayHaveExpired := inc.leaseMayHaveExpired(now)
	if !mayHaveExpired && inc.mayExtendLease(now) {
		p.until = inc.workerTime(a.grantedUntil)
	}
	if p.until > 0 {
		inc.extendLease(a.grantedUntil)
	}
	if inc.unresponsive || !inc.polled || inc.confirmedFence.Compare(inc.fence) < 0 || mayHaveExpired {
		p.wait = 0
	}
	a.cluster.trace(inc.info.ID, "process %d polls %+v, lease end %v, before %v, unresponsive %v", a.origin.Process, p, inc.leaseEnd, leaseEnd, inc.unresponsive)
	call := a.newCall(p.wait+simPollTimeoutMargin, func(result any, err error) {
		status, _ := result.(simStatus)
		then(a.handlePollResult(inc, p, status, err, sentAt, leaseEnd))
	})
	call.send(inc, func(sw *simWorker) { sw.handlePoll(p, inc.info.ID, call) })
}

func (a *simAgent) handlePollResult(inc *simIncarnation, p simPoll, status simStatus, err error, sentAt, leaseEnd time.Duration) time.Duration {
	now := a.cluster.now
	inc.pollsInProgress--
	if a.inc != inc {
		if err == nil {
			a.addLateEnds(inc, status)
		}
		return 0
	}
	if err != nil {
		return a.handlePollError(inc, err)
	}
	inc.ackedEnds = max(inc.ackedEnds, p.ack)
	if inc.applyStatus(status, sentAt, now, leaseEnd) {
		inc.confirmedFence = inc.confirmedFence.Max(p.fence)
	}
	a.requestReport()
	if (len(status.ended) > 0 || inc.leaseMayHaveExpired(now)) && now-sentAt < simMinPollInterval {
		return simMinPollInterval
	}
	return 0
}

func (a *simAgent) handlePollError(inc *simIncarnation, err error) time.Duration {
	now := a.cluster.now
	switch err {
	case errSimOtherIncarnation, errSimSuperseded:
		a.endUnannounced(err == errSimSuperseded)
		return 0
	case errSimFenced:
		inc.fence.Generation += GenerationStep
		return simUnresponsivePollInterval
	case errSimConnectionLost, errSimConnectionRefused:
		if inc.connectionLostAt == 0 {
			inc.connectionLostAt = now
		}
		inc.connectionBroken = inc.connectionBroken || err == errSimConnectionLost
	}
	if inc.hasLeft(err, now) {
		a.endIncarnation(false, false)
		return 0
	}
	inc.capacityUnconfirmed = true
	if !inc.unresponsive {
		a.cluster.counts["unresponsive workers"]++
		inc.markUnresponsive(now)
	}
	if now-inc.failureReportedAt >= simUnresponsivePollInterval {
		inc.failureReportedAt = now
		a.requestReport()
	}
	return inc.pollIntervalUnresponsive(now)
}

// simPoll is what a poll carries; until is on the worker's clock, 0 does not extend the lease.
type simPoll struct {
	fence Fence
	until time.Duration
	ack   int64
	wait  time.Duration
}

// handlePoll carries out a poll of an incarnation, this one or an earlier one of the same name. It is
// answered when a run has ended or the wait is over.
func (w *simWorker) handlePoll(p simPoll, polled WorkerID, call *simCall) {
	now := w.cluster.now
	if p.fence.Compare(w.fence) < 0 {
		call.reply(nil, errSimFenced)
		return
	}
	w.fence = p.fence
	w.fenced = w.fenced || call.sentAt >= w.bornAt && p.fence.Compare(w.earlierFence()) > 0
	if p.until > now {
		w.leaseEnd = max(w.leaseEnd, p.until)
	}
	w.cluster.trace(w.info.ID, "poll %+v: lease until %v", p, w.leaseEnd)
	if polled != w.info.ID {
		// An acknowledgement meant for an earlier incarnation is not simulated.
		call.reply(nil, errSimSuperseded)
		return
	}
	w.forgetEnds(p.ack)
	w.answerPoll(now+p.wait, call)
}

// earlierFence returns the highest fence that an earlier incarnation has seen.
func (w *simWorker) earlierFence() Fence {
	f := Fence{}
	for before := w.previous; before != nil; before = before.previous {
		f = f.Max(before.fence)
	}
	return f
}

func (w *simWorker) answerPoll(at time.Duration, call *simCall) {
	now := w.cluster.now
	switch {
	case w.dead:
		call.reply(nil, errSimConnectionLost)
	case now < at && len(w.ended) == 0 || now < w.silentUntil:
		w.cluster.after(2*simStep, func() { w.answerPoll(at, call) })
	default:
		status := simStatus{running: w.statuses(now), clock: now}
		status.ended, status.endsOmitted = w.listEnds()
		call.reply(status, nil)
	}
}

func (w *simWorker) statuses(now time.Duration) []RunStatus {
	var out []RunStatus
	for _, run := range w.sorted() {
		percent := 0
		if run.endsAt > run.startedAt {
			percent = int(100 * (now - run.startedAt) / (run.endsAt - run.startedAt))
		}
		out = append(out, RunStatus{Run: run.id, Percent: min(percent, 99)})
	}
	return out
}
