package nodeagent

import (
	"context"
	"errors"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// HandleHeartbeat handles a worker's heartbeat. A heartbeat of another incarnation than the current
// one is accepted only if the worker itself confirms its identity, so a delayed heartbeat of an
// ended incarnation has no effect.
func (a *Agent) HandleHeartbeat(ctx context.Context, hb Heartbeat) error {
	a.counters.Announcements.Add(1)
	hb.Info.Agent = a.cfg.ID
	if a.updateCurrent(hb) {
		return nil
	}
	// Read before the worker is asked: one that was adopted meanwhile is newer than the answer.
	inc, _ := a.current()
	currentName, err := a.cfg.Worker.Identify(ctx)
	if err != nil {
		return err
	}
	if currentName != hb.Info.CallName() {
		a.log.WithField("announced", hb.Info.ID).WithField("answers", currentName).Info("ignored heartbeat: the worker answers under another name")
		return nil
	}
	if inc != nil && inc.info.SharesName(hb.Info) {
		return a.resolveSharedName(inc, hb)
	}
	return a.adopt(inc, hb)
}

// resolveSharedName handles a heartbeat of an incarnation that has the same name as the current
// one, inc. It polls the worker: if inc answers, the heartbeat is from an earlier incarnation.
func (a *Agent) resolveSharedName(inc *incarnation, hb Heartbeat) error {
	a.markUnresponsive(inc)
	_, err := a.tryPoll(inc, 0)
	switch {
	case err == nil:
		a.log.WithField("announced", hb.Info.ID).Info("ignored heartbeat of an earlier incarnation")
		return nil
	case errors.Is(err, ErrOtherIncarnation), errors.Is(err, errIncarnationEnded):
		return a.adopt(nil, hb)
	}
	return err
}

// markUnresponsive treats inc as unresponsive until it answers. The connection to it may hang
// without an error, and the next poll may be the first that a new incarnation answers.
func (a *Agent) markUnresponsive(inc *incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == inc && !inc.unresponsive {
		inc.markUnresponsive(now())
	}
}

// updateCurrent applies a heartbeat to the current incarnation. It returns false if the
// heartbeat belongs to another one that is not known to have ended.
func (a *Agent) updateCurrent(hb Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedIDs[hb.Info.ID] {
		return true
	}
	inc := a.incarnation
	if inc == nil || inc.info.ID != hb.Info.ID {
		return false
	}
	if hb.Sequence <= inc.sequence {
		return true
	}
	inc.sequence = hb.Sequence
	if inc.capacityUnconfirmed {
		inc.capacityUnconfirmed = false
		a.requestReport()
	}
	if hb.Info.Capacity != inc.info.Capacity {
		a.log.WithField("worker", inc.info.ID).WithField("room", hb.Info.Capacity).WithField("before", inc.info.Capacity).Info("worker capacity changed")
		inc.info.Capacity = hb.Info.Capacity
		a.requestReport()
	}
	if hb.Draining && !inc.leaving {
		if !inc.draining {
			a.log.WithField("worker", inc.info.ID).WithField("remaining_ms", hb.Remaining.Milliseconds()).Info("worker is draining")
			a.requestReport()
		}
		inc.draining = true
		inc.departsAt = now() + hb.Remaining
	}
	return true
}

// adopt replaces inc by a new incarnation. It fails if inc is no longer the current one.
func (a *Agent) adopt(inc *incarnation, hb Heartbeat) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedIDs[hb.Info.ID] || a.incarnation != nil && a.incarnation.info.ID == hb.Info.ID {
		return nil
	}
	if a.incarnation != inc {
		return errIncarnationEnded
	}
	a.endUnannounced(false)
	a.incarnation = newIncarnation(hb.Info)
	a.incarnation.fence = a.nextFence.Max(engine.Fence{Epoch: a.epoch})
	a.incarnation.sequence = hb.Sequence
	a.incarnation.draining = hb.Draining
	a.incarnation.departsAt = now() + hb.Remaining
	a.log.WithField("worker", hb.Info.ID).WithField("service", hb.Info.Service).Info("new worker incarnation")
	a.notifyChanged()
	return nil
}

// HandleDeparture handles a departure notice of the worker with the given name, which is leaving from
// then on; see incarnation.leave.
//
// A delayed notice may arrive after another incarnation has taken the name. To keep its runs
// from being treated as ended, a notice of a named worker is ignored unless the worker has
// announced before that it is draining.
func (a *Agent) HandleDeparture(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == nil || a.incarnation.info.CallName() != name {
		a.endedIDs[engine.WorkerID(name)] = true
		return
	}
	if a.incarnation.info.Name != "" && !a.incarnation.draining {
		a.log.WithField("worker", a.incarnation.info.ID).Info("ignored departure notice of an earlier incarnation")
		return
	}
	a.log.WithField("worker", a.incarnation.info.ID).Info("worker is leaving")
	a.incarnation.leave(now(), a.cfg.MaxLease)
	a.requestReport()
}

func (a *Agent) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
	a.requestReport()
}

// current returns the current incarnation, or nil if there is none, and a channel that is
// closed when it changes.
func (a *Agent) current() (*incarnation, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation, a.changed
}
