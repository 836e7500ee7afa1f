package nodeagent

import (
	"context"
	"errors"
	"time"
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
	a.counts.Looks.Add(1)
	o, seen, wait, before := a.lookOrder(l, wait)
	sent := now()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), wait+lookSlack)
	defer cancel()
	look, err := a.cfg.Worker.Look(ctx, o, seen, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != l {
		return 0
	}
	if err != nil {
		return a.lookFailed(l, err)
	}
	waited := now() - sent
	l.fenced = max(l.fenced, o.Epoch)
	l.take(look, sent, now(), before)
	a.signal()
	if (len(look.Ended) > 0 || l.lapsing(now())) && waited < repeatPause {
		return repeatPause
	}
	return 0
}

// lookOrder returns the order of the next look. Once the worker has not answered for
// keepExtending, nothing extends its lease, so that it is certain when it lapses.
func (a *Agent) lookOrder(l *life, wait time.Duration) (o Order, seen int64, w, before time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o = Order{Worker: l.info.ID, Epoch: a.epoch}
	before = l.leaseEnd
	lapsing := l.lapsing(now())
	if !lapsing && l.extending(now()) {
		o.Until = l.until(a.granted)
	}
	if o.Until > 0 {
		l.extend(a.granted)
	}
	if l.failing || !l.known || l.fenced < a.epoch || lapsing {
		wait = 0
	}
	return o, l.seen, wait, before
}

func (a *Agent) lookFailed(l *life, err error) time.Duration {
	a.counts.LooksFailed.Add(1)
	if errors.Is(err, ErrOtherLife) {
		a.log.WithField("worker", l.info.ID).Info("the worker answers as another life")
		a.endLifeUnannounced()
		a.notify()
		return 0
	}
	if errors.Is(err, ErrFenced) {
		a.log.WithField("worker", l.info.ID).WithField("epoch", a.epoch).Warn("the worker follows a newer planner")
		return silentPause
	}
	if !l.failing {
		a.log.WithField("worker", l.info.ID).WithError(err).Warn("worker does not answer")
		l.failingFrom = now()
	}
	l.failing = true
	a.signal()
	return silentPause
}
