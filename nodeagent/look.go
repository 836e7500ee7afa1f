package nodeagent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// lookLoop looks at the worker again and again, which renews its lease.
func (a *Agent) lookLoop() error {
	for a.tomb.Alive() {
		l, changed := a.current()
		if l == nil {
			select {
			case <-changed:
			case <-a.tomb.Dying():
			}
			continue
		}
		pause := a.look(l, a.lookWait(l))
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-a.tomb.Dying():
			}
		}
	}
	return nil
}

// lookWait returns how long the next look may wait for an end.
func (a *Agent) lookWait(l *life) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.closely {
		return closeWait
	}
	return lookWait
}

// look makes one look and returns how long to wait before the next.
func (a *Agent) look(l *life, wait time.Duration) time.Duration {
	pause, _ := a.tryLook(l, wait) // what failed is noted of the life
	return pause
}

// errLifeOver: the life that was looked at is not the present one any more.
var errLifeOver = eris.New("the life is over")

// tryLook makes one look. The error says why it tells nothing of l.
func (a *Agent) tryLook(l *life, wait time.Duration) (pause time.Duration, err error) {
	a.counts.Looks.Add(1)
	o, seen, wait, before := a.lookOrder(l, wait)
	sent := now()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), wait+lookSlack)
	defer cancel()
	look, err := a.cfg.Worker.Poll(ctx, o, seen, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != l {
		return 0, errLifeOver
	}
	if err != nil {
		return a.lookFailed(l, err), err
	}
	waited := now() - sent
	l.fenced = l.fenced.Max(o.Fence)
	l.acknowledged = max(l.acknowledged, seen)
	clock := l.clock
	a.notePassedOver(l, look, clock, l.take(look, sent, now(), before))
	a.signal()
	if (len(look.Ended) > 0 || l.lapsing(now())) && waited < repeatPause {
		return repeatPause, nil
	}
	return 0, nil
}

// lookOrder returns the order of the next look. Once the worker has not answered for
// keepExtending, nothing extends its lease, so that it is certain when it lapses.
func (a *Agent) lookOrder(l *life, wait time.Duration) (o OrderHeader, seen int64, w, before time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o = OrderHeader{Worker: l.info.ID, Fence: l.fence}
	before = l.leaseEnd
	lapsing := l.lapsing(now())
	if !lapsing && l.extending(now()) {
		o.LeaseEnd = l.until(a.granted)
	}
	if o.LeaseEnd > 0 {
		l.extend(a.granted)
	}
	if l.failing || !l.known || l.fenced.Compare(l.fence) < 0 || lapsing {
		wait = 0
	}
	return o, l.acknowledge(), wait, before
}

func (a *Agent) lookFailed(l *life, err error) time.Duration {
	a.counts.LooksFailed.Add(1)
	if errors.Is(err, ErrOtherIncarnation) {
		a.log.WithField("worker", l.info.ID).WithError(err).Info("the worker answers as another life")
		a.endLifeUnannounced(errors.Is(err, ErrSuperseded))
		a.notify()
		return 0
	}
	if errors.Is(err, ErrFenced) {
		a.log.WithField("worker", l.info.ID).WithField("fence", l.fence).Warn("the worker has seen a higher fence")
		l.overtake()
		return silentPause
	}
	at := now()
	if !l.failing {
		a.log.WithField("worker", l.info.ID).WithField("acknowledged", l.acknowledged).WithError(err).Warn("worker does not answer")
		l.fail(at)
	}
	if at-l.failureTold >= silentPause {
		l.failureTold = at
		a.signal()
	}
	return l.silentPause(at)
}

// notePassedOver counts answers that were passed over since the worker's clock was further in
// an earlier one, and tells of the first in a row. The mutex is held.
func (a *Agent) notePassedOver(l *life, look WorkerStatus, clock time.Duration, taken bool) {
	if !taken {
		a.counts.LooksPassedOver.Add(1)
	}
	if !taken && !l.passedOver {
		a.log.WithFields(logrus.Fields{
			"worker": l.info.ID, "clock_ms": look.Clock.Milliseconds(), "before_ms": clock.Milliseconds(),
			"ends": len(look.Ended), "acknowledged": l.acknowledged,
		}).Info("worker's answer passed over")
	}
	l.passedOver = !taken
}
