package engine

import (
	"slices"
	"time"
)

// simMaxExtra is the longest time for which a deposed planner of the simulation goes on granting leases.
const simMaxExtra = 8 * time.Second

// simDeposed is a planner that has a successor and does not know it. It grants leases to the workers that
// reach only it; its writes get no answer.
type simDeposed struct {
	engine  *Engine
	until   time.Duration
	writing bool
}

// simSeries is the state of a world with takeovers in series.
type simSeries struct {
	vacant  bool // the planner has ended without a successor
	deposed []*simDeposed
	cutOff  map[string]*simDeposed // by agent: the planner that it reaches in place of the current one
	returns bool                   // silent workers come back to deposed planners
	waits   simLeaseWaits
}

func newSimSeries() *simSeries {
	return &simSeries{cutOff: map[string]*simDeposed{}, waits: newSimLeaseWaits()}
}

// step lets the deposed planners act, and reports whether there is a current one.
func (s *simSeries) step(w *simCluster) bool {
	if s == nil {
		return true
	}
	s.waits.passTime(s.vacant, w.storeDown)
	for _, d := range slices.Clone(s.deposed) {
		if w.now > d.until || w.faultsEnded {
			s.end(d)
			continue
		}
		w.stepDeposed(d)
	}
	return !s.vacant
}

func (s *simSeries) end(d *simDeposed) {
	s.deposed = slices.DeleteFunc(s.deposed, func(o *simDeposed) bool { return o == d })
	for agent, reached := range s.cutOff {
		if reached == d {
			delete(s.cutOff, agent)
		}
	}
}

func (w *simCluster) stepDeposed(d *simDeposed) {
	e := d.engine
	if w.now%(50*time.Millisecond) == 0 {
		e.Step(w.now, Tick{WallTime: w.wall()})
	}
	for _, action := range e.Decide(w.now) {
		if o, ok := action.(Orders); ok {
			w.after(w.orderLatency(), func() { w.deliver(e, e.epoch, o) })
		}
	}
	if !d.writing {
		change := e.PendingChanges(w.now, w.wall(), 15)
		d.writing = !change.Empty()
	}
}

// takeOverWhenServed starts the next planner once the store serves it.
func (w *simCluster) takeOverWhenServed() {
	if w.storeDown {
		w.after(time.Duration(1+w.rng.IntN(100))*time.Millisecond, w.takeOverWhenServed)
		return
	}
	w.takeOver()
}

// endTerm ends the term of the current planner, or makes it a deposed one that some workers still reach. It
// returns how much longer than usual the leases that predecessors have granted may last.
func (w *simCluster) endTerm() (extra time.Duration) {
	s := w.series
	if s == nil {
		return 0
	}
	for _, d := range s.deposed {
		extra = max(extra, d.until-w.now)
	}
	if !s.vacant && w.rng.IntN(4) > 0 {
		extra = max(extra, w.randomTime(100*time.Millisecond, simMaxExtra))
		d := &simDeposed{engine: w.engine, until: w.now + extra}
		s.deposed = append(s.deposed, d)
		for _, sw := range w.workers {
			if s.cutOff[sw.info.Agent] == nil && w.rng.IntN(3) == 0 {
				s.cutOff[sw.info.Agent] = d
			}
		}
		if s.returns {
			w.planReturns(d)
		}
	}
	s.vacant = false
	s.waits.noteTakeover(w.now, extra)
	return extra
}

// planReturns makes some silent workers come back to a planner that has just been deposed.
func (w *simCluster) planReturns(d *simDeposed) {
	for _, sw := range w.workers {
		if !sw.disconnected || w.rng.IntN(3) == 0 {
			continue
		}
		w.series.cutOff[sw.info.Agent] = d
		w.after(w.randomTime(0, time.Second), func() { sw.disconnected = false })
	}
}

// acts reports whether e is the current planner or a deposed one that goes on.
func (w *simCluster) acts(e *Engine) bool {
	if w.series == nil || e == w.engine {
		return e == w.engine && (w.series == nil || !w.series.vacant)
	}
	return slices.ContainsFunc(w.series.deposed, func(d *simDeposed) bool { return d.engine == e })
}

// plannerOf returns the planner that the agent of a worker reaches.
func (w *simCluster) plannerOf(sw *simWorker) *Engine {
	if w.series != nil {
		if d := w.series.cutOff[sw.info.Agent]; d != nil {
			return d.engine
		}
	}
	return w.engine
}

// reaches reports whether orders of e reach the agent of a worker.
func (w *simCluster) reaches(e *Engine, sw *simWorker) bool {
	return w.series == nil || w.series.cutOff[sw.info.Agent] == nil || w.plannerOf(sw) == e
}
