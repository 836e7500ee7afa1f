package nodeagent

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// Announce takes a worker's heartbeat. A heartbeat of a life that is over, which was
// held up on its way, changes nothing: a life other than the present one counts only if
// the worker itself says that it is the one.
func (a *Agent) Announce(ctx context.Context, n Announcement) error {
	a.counts.Announcements.Add(1)
	n.Info.Agent = a.cfg.ID
	if a.refresh(n) {
		return nil
	}
	id, err := a.cfg.Worker.Identify(ctx)
	if err != nil {
		return err
	}
	if id != n.Info.ID {
		a.log.WithField("announced", n.Info.ID).WithField("answers", id).Info("heartbeat of another life passed over")
		return nil
	}
	a.meet(n)
	return nil
}

// refresh updates the present life, and returns false for another one.
func (a *Agent) refresh(n Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended[n.Info.ID] {
		return true
	}
	l := a.life
	if l == nil || l.info.ID != n.Info.ID {
		return false
	}
	a.noteBorn(l, n.Born)
	if n.Sequence <= l.sequence {
		return true
	}
	l.sequence = n.Sequence
	if n.Info.Capacity != l.info.Capacity {
		a.log.WithField("worker", l.info.ID).WithField("room", n.Info.Capacity).WithField("before", l.info.Capacity).Info("worker's room changed")
		l.info.Capacity = n.Info.Capacity
		a.signal()
	}
	if n.Draining {
		if !l.draining {
			a.log.WithField("worker", l.info.ID).WithField("remaining_ms", n.Remaining.Milliseconds()).Info("worker drains")
			a.signal()
		}
		l.draining = true
		l.leavesAt = now() + n.Remaining
	}
	return true
}

// meet begins a new life.
func (a *Agent) meet(n Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended[n.Info.ID] || a.life != nil && a.life.info.ID == n.Info.ID {
		return
	}
	a.endLifeUnannounced()
	a.life = newLife(n.Info)
	a.life.sequence = n.Sequence
	a.life.born = n.Born
	a.life.draining = n.Draining
	a.life.leavesAt = now() + n.Remaining
	a.log.WithField("worker", n.Info.ID).WithField("service", n.Info.Service).Info("worker announced")
	a.notify()
}

// Leave takes a worker's goodbye.
func (a *Agent) Leave(id engine.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life == nil || a.life.info.ID != id {
		a.ended[id] = true
		return
	}
	a.endLife(false)
	a.notify()
}

// departure is a life that is over. crashed: it ended without notice.
type departure struct {
	info    engine.WorkerInfo
	crashed bool
	// looked: proven are the runs that looks had shown for engine.ProvenAfter, over those
	// that had ended.
	looked bool
	proven []engine.RunningRow
	over   []engine.EndRow
}

// endLife notes that the present life is over. The mutex is held.
func (a *Agent) endLife(crashed bool) {
	if a.life == nil {
		return
	}
	id := a.life.info.ID
	a.log.WithField("worker", id).WithField("crashed", crashed).Info("worker gone")
	a.ended[id] = true
	a.left = append(a.left, departure{
		info: a.life.info, crashed: crashed,
		looked: a.life.known, proven: a.life.proven(), over: a.life.ended,
	})
	a.life = nil
}

// endLifeUnannounced ends the present life, of which another one was found in its place. It
// has crashed, unless it was draining: a worker whose goodbye is not answered ends all the
// same. The mutex is held.
func (a *Agent) endLifeUnannounced() {
	a.endLife(a.life != nil && !a.life.draining)
}

func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
	a.signal()
}

// current returns the present life, nil where there is none, and a channel that is
// closed when that changes.
func (a *Agent) current() (*life, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.life, a.changed
}
