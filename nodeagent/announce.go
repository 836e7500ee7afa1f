package nodeagent

import (
	"context"
	"errors"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// Announce takes a worker's heartbeat. A heartbeat of a life that is over, which was
// held up on its way, changes nothing: a life other than the present one counts only if
// the worker itself says that it is the one.
func (a *Agent) Announce(ctx context.Context, n Heartbeat) error {
	a.counters.Announcements.Add(1)
	n.Info.Agent = a.cfg.ID
	if a.updateCurrent(n) {
		return nil
	}
	name, err := a.cfg.Worker.Identify(ctx)
	if err != nil {
		return err
	}
	if name != n.Info.CallName() {
		a.log.WithField("announced", n.Info.ID).WithField("answers", name).Info("heartbeat of another life passed over")
		return nil
	}
	l, _ := a.current()
	if l != nil && l.info.SharesName(n.Info) {
		return a.resolveSharedName(l, n)
	}
	return a.adopt(l, n)
}

// resolveSharedName takes a heartbeat of another life than the present one, l, which has the same
// name. Only a look tells them apart: where l answers, the heartbeat is of an earlier life.
func (a *Agent) resolveSharedName(l *incarnation, n Heartbeat) error {
	a.markUnresponsive(l)
	_, err := a.tryPoll(l, 0)
	switch {
	case err == nil:
		a.log.WithField("announced", n.Info.ID).Info("heartbeat of an earlier life passed over")
		return nil
	case errors.Is(err, ErrOtherIncarnation), errors.Is(err, errIncarnationEnded):
		return a.adopt(nil, n)
	}
	return err
}

// markUnresponsive takes l for silent until it answers: the connection to it may hang without an error,
// and the next look be the first that another life answers.
func (a *Agent) markUnresponsive(l *incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == l && !l.unresponsive {
		l.markUnresponsive(now())
	}
}

// updateCurrent updates the present life, and returns false for another one.
func (a *Agent) updateCurrent(n Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedIDs[n.Info.ID] {
		return true
	}
	l := a.incarnation
	if l == nil || l.info.ID != n.Info.ID {
		return false
	}
	if n.Sequence <= l.sequence {
		return true
	}
	l.sequence = n.Sequence
	if n.Info.Capacity != l.info.Capacity {
		a.log.WithField("worker", l.info.ID).WithField("room", n.Info.Capacity).WithField("before", l.info.Capacity).Info("worker's room changed")
		l.info.Capacity = n.Info.Capacity
		a.requestReport()
	}
	if n.Draining {
		if !l.draining {
			a.log.WithField("worker", l.info.ID).WithField("remaining_ms", n.Remaining.Milliseconds()).Info("worker drains")
			a.requestReport()
		}
		l.draining = true
		l.departsAt = now() + n.Remaining
	}
	return true
}

// adopt begins a new life in the place of l. It fails where another one is present by now.
func (a *Agent) adopt(l *incarnation, n Heartbeat) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedIDs[n.Info.ID] || a.incarnation != nil && a.incarnation.info.ID == n.Info.ID {
		return nil
	}
	if a.incarnation != l {
		return errIncarnationEnded
	}
	a.endUnannounced(false)
	a.incarnation = newIncarnation(n.Info)
	a.incarnation.fence = a.nextFence.Max(engine.Fence{Epoch: a.epoch})
	a.incarnation.sequence = n.Sequence
	a.incarnation.draining = n.Draining
	a.incarnation.departsAt = now() + n.Remaining
	a.log.WithField("worker", n.Info.ID).WithField("service", n.Info.Service).Info("worker announced")
	a.notifyChanged()
	return nil
}

// Leave takes the goodbye of a worker that answers under a name.
//
// The failure it guards against: a goodbye that was held up comes when another life has the
// name. Its runs would be taken for over and start elsewhere while they go on. A worker that
// leaves has said before that it drains.
func (a *Agent) Leave(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == nil || a.incarnation.info.CallName() != name {
		a.endedIDs[engine.WorkerID(name)] = true
		return
	}
	if a.incarnation.info.Name != "" && !a.incarnation.draining {
		a.log.WithField("worker", a.incarnation.info.ID).Info("goodbye of an earlier life passed over")
		return
	}
	a.endIncarnation(departure{})
	a.notifyChanged()
}

func (a *Agent) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
	a.requestReport()
}

// current returns the present life, nil where there is none, and a channel that is
// closed when that changes.
func (a *Agent) current() (*incarnation, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation, a.changed
}
