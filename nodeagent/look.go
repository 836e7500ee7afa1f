package nodeagent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// pollLoop looks at the worker again and again, which renews its lease.
func (a *Agent) pollLoop() error {
	for a.tomb.Alive() {
		l, changed := a.current()
		if l == nil {
			select {
			case <-changed:
			case <-a.tomb.Dying():
			}
			continue
		}
		pause := a.poll(l, a.pollWait(l))
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-a.tomb.Dying():
			}
		}
	}
	return nil
}

// pollWait returns how long the next look may wait for an end.
func (a *Agent) pollWait(l *incarnation) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.pollOften {
		return shortPollWait
	}
	return pollWait
}

// poll makes one poll and returns how long to wait before the next.
func (a *Agent) poll(l *incarnation, wait time.Duration) time.Duration {
	pause, _ := a.tryPoll(l, wait) // what failed is noted of the life
	return pause
}

// errIncarnationEnded: the life that was looked at is not the present one any more.
var errIncarnationEnded = eris.New("the life is over")

// tryPoll makes one look. The error says why it tells nothing of l.
func (a *Agent) tryPoll(l *incarnation, wait time.Duration) (pause time.Duration, err error) {
	a.counters.Looks.Add(1)
	o, seen, wait, before := a.preparePoll(l, wait)
	sent := now()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), wait+pollTimeoutMargin)
	defer cancel()
	look, err := a.cfg.Worker.Poll(ctx, o, seen, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation != l {
		return 0, errIncarnationEnded
	}
	if err != nil {
		return a.handlePollError(l, err), err
	}
	waited := now() - sent
	l.confirmedFence = l.confirmedFence.Max(o.Fence)
	l.ackedEnds = max(l.ackedEnds, seen)
	clock := l.workerClock
	a.noteStaleAnswer(l, look, clock, l.applyStatus(look, sent, now(), before))
	a.requestReport()
	if (len(look.Ended) > 0 || l.leaseMayHaveExpired(now())) && waited < minPollInterval {
		return minPollInterval, nil
	}
	return 0, nil
}

// preparePoll returns the order of the next look. Once the worker has not answered for
// keepExtending, nothing extends its lease, so that it is certain when it lapses.
func (a *Agent) preparePoll(l *incarnation, wait time.Duration) (o OrderHeader, seen int64, w, before time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o = OrderHeader{Worker: l.info.ID, Fence: l.fence}
	before = l.leaseEnd
	lapsing := l.leaseMayHaveExpired(now())
	if !lapsing && l.mayExtendLease(now()) {
		o.LeaseEnd = l.workerTime(a.grantedUntil)
	}
	if o.LeaseEnd > 0 {
		l.extendLease(a.grantedUntil)
	}
	if l.unresponsive || !l.polled || l.confirmedFence.Compare(l.fence) < 0 || lapsing {
		wait = 0
	}
	return o, l.nextAck(), wait, before
}

func (a *Agent) handlePollError(l *incarnation, err error) time.Duration {
	a.counters.LooksFailed.Add(1)
	if errors.Is(err, ErrOtherIncarnation) {
		a.log.WithField("worker", l.info.ID).WithError(err).Info("the worker answers as another life")
		a.endUnannounced(errors.Is(err, ErrSuperseded))
		a.notifyChanged()
		return 0
	}
	if errors.Is(err, ErrFenced) {
		a.log.WithField("worker", l.info.ID).WithField("fence", l.fence).Warn("the worker has seen a higher fence")
		l.raiseRefusedFence()
		return unresponsivePollInterval
	}
	at := now()
	if !l.unresponsive {
		a.log.WithField("worker", l.info.ID).WithField("acknowledged", l.ackedEnds).WithError(err).Warn("worker does not answer")
		l.markUnresponsive(at)
	}
	if at-l.failureReportedAt >= unresponsivePollInterval {
		l.failureReportedAt = at
		a.requestReport()
	}
	return l.unresponsivePollInterval(at)
}

// noteStaleAnswer counts answers that were passed over since the worker's clock was further in
// an earlier one, and tells of the first in a row. The mutex is held.
func (a *Agent) noteStaleAnswer(l *incarnation, look WorkerStatus, clock time.Duration, taken bool) {
	if !taken {
		a.counters.LooksPassedOver.Add(1)
	}
	if !taken && !l.lastAnswerStale {
		a.log.WithFields(logrus.Fields{
			"worker": l.info.ID, "clock_ms": look.Clock.Milliseconds(), "before_ms": clock.Milliseconds(),
			"ends": len(look.Ended), "acknowledged": l.ackedEnds,
		}).Info("worker's answer passed over")
	}
	l.lastAnswerStale = !taken
}
