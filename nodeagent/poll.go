package nodeagent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// pollLoop polls the worker continuously, which renews its lease.
func (a *Agent) pollLoop() error {
	for a.tomb.Alive() {
		inc, changed := a.current()
		if inc == nil {
			select {
			case <-changed:
			case <-a.tomb.Dying():
			}
			continue
		}
		pause := a.poll(inc, a.pollWait(inc))
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-a.tomb.Dying():
			}
		}
	}
	return nil
}

// pollWait returns how long the next poll may wait for a run to end.
func (a *Agent) pollWait(inc *incarnation) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if inc.pollOften {
		return shortPollWait
	}
	return pollWait
}

// poll polls the worker once and returns the pause before the next poll.
func (a *Agent) poll(inc *incarnation, wait time.Duration) time.Duration {
	pause, _ := a.tryPoll(inc, wait) // errors are recorded in inc
	return pause
}

// errIncarnationEnded means that the polled incarnation is no longer the current one.
var errIncarnationEnded = eris.New("the incarnation has ended")

// tryPoll polls the worker once. On error, the poll gave no information on inc.
func (a *Agent) tryPoll(inc *incarnation, wait time.Duration) (pause time.Duration, err error) {
	a.counters.Looks.Add(1)
	header, ackedEnds, wait, leaseEnd := a.preparePoll(inc, wait)
	sentAt := now()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), wait+pollTimeoutMargin)
	defer cancel()
	status, err := a.cfg.Worker.Poll(ctx, header, ackedEnds, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	inc.pollsInProgress--
	if a.incarnation != inc {
		if err == nil {
			a.addLateEnds(inc, status)
		}
		return 0, errIncarnationEnded
	}
	if errors.Is(err, context.DeadlineExceeded) && sentAt < inc.polledAt {
		return 0, err // a poll that was sent later has been answered
	}
	if err != nil {
		return a.handlePollError(inc, err), err
	}
	waited := now() - sentAt
	inc.ackedEnds = max(inc.ackedEnds, ackedEnds)
	clockBefore := inc.workerClock
	accepted := inc.applyStatus(status, sentAt, now(), leaseEnd)
	if accepted {
		// A planner takes the runs that are not listed under its fence for lost.
		inc.confirmedFence = inc.confirmedFence.Max(header.Fence)
	}
	a.noteStaleAnswer(inc, status, clockBefore, accepted)
	a.requestReport()
	if (len(status.Ended) > 0 || !accepted || inc.leaseMayHaveExpired(now())) && waited < minPollInterval {
		return minPollInterval, nil
	}
	return 0, nil
}

// preparePoll returns the order header and the acknowledgement of the next poll, its wait, and
// the lease end before this poll extends it. Once the worker has not answered for
// leaseExtensionPeriod, polls no longer extend its lease, so that its expiry time is certain.
func (a *Agent) preparePoll(inc *incarnation, wait time.Duration) (header OrderHeader, ackedEnds int64, w, leaseEnd time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inc.pollsInProgress++
	header = OrderHeader{Worker: inc.info.ID, Fence: inc.fence}
	leaseEnd = inc.leaseEnd
	mayHaveExpired := inc.leaseMayHaveExpired(now())
	if !mayHaveExpired && inc.mayExtendLease(now()) {
		header.LeaseEnd = inc.workerTime(a.grantedUntil)
	}
	if header.LeaseEnd > 0 {
		inc.extendLease(a.grantedUntil)
	}
	if inc.unresponsive || !inc.polled || inc.confirmedFence.Compare(inc.fence) < 0 || mayHaveExpired {
		wait = 0
	}
	return header, inc.nextAck(), wait, leaseEnd
}

func (a *Agent) handlePollError(inc *incarnation, err error) time.Duration {
	a.counters.LooksFailed.Add(1)
	if errors.Is(err, ErrOtherIncarnation) {
		a.log.WithField("worker", inc.info.ID).WithError(err).Info("worker answers as another incarnation")
		a.endUnannounced(errors.Is(err, ErrSuperseded))
		a.notifyChanged()
		return 0
	}
	if errors.Is(err, ErrFenced) {
		a.log.WithField("worker", inc.info.ID).WithField("fence", inc.fence).Warn("worker refused poll: it has seen a higher fence")
		inc.raiseRefusedFence()
		return unresponsivePollInterval
	}
	at := now()
	if errors.Is(err, ErrConnectionLost) && inc.connectionLostAt == 0 {
		inc.connectionLostAt = at
	}
	if errors.Is(err, ErrConnectionLost) && !errors.Is(err, ErrConnectionRefused) {
		inc.connectionBroken = true
	}
	if inc.hasLeft(err, at) {
		a.endIncarnation(departure{})
		a.notifyChanged()
		return 0
	}
	inc.capacityUnconfirmed = true
	if !inc.unresponsive {
		a.log.WithField("worker", inc.info.ID).WithField("acknowledged", inc.ackedEnds).WithError(err).Warn("worker is unresponsive")
		inc.markUnresponsive(at)
	}
	if at-inc.failureReportedAt >= unresponsivePollInterval {
		inc.failureReportedAt = at
		a.requestReport()
	}
	return inc.unresponsivePollInterval(at)
}

// noteStaleAnswer counts answers that were discarded because the worker's clock was later in an
// earlier one, and logs the first of a sequence. The mutex is held.
func (a *Agent) noteStaleAnswer(inc *incarnation, status WorkerStatus, clockBefore time.Duration, accepted bool) {
	if !accepted {
		a.counters.LooksPassedOver.Add(1)
	}
	if !accepted && !inc.lastAnswerStale {
		a.log.WithFields(logrus.Fields{
			"worker": inc.info.ID, "clock_ms": status.Clock.Milliseconds(), "before_ms": clockBefore.Milliseconds(),
			"ends": len(status.Ended), "acknowledged": inc.ackedEnds,
		}).Info("ignored outdated poll answer")
	}
	inc.lastAnswerStale = !accepted
}
