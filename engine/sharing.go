package engine

import (
	"fmt"
	"time"
)

// Tasks that fill (Step.Fills) use the processor time that others leave, and disturb
// those that serve users (Step.TailTarget) on the same worker. Each look brings the
// serving tasks' tail latency; from it the speed of what fills is set:
//
//   - a filling task begins at the speed that was tolerated for its image beside theirs;
//   - over strainCeiling the speed of the likeliest cause is halved, over the target all
//     speeds are, and again after the figures have had time to show it; over the target for
//     harmShare of the time that counts as harm, what fills stands still; what the worker
//     does not hold back is stopped;
//   - under strainFloor one filling task is raised a step, of the image that is tolerated
//     best, so that what follows can be put down to its pair of images.
//
// It is additive increase and multiplicative decrease, as in congestion control, since the
// load of the serving tasks is not known and changes within seconds.
const (
	// strainCeiling and strainFloor are tail latencies in parts of the target.
	strainCeiling = 0.85
	strainFloor   = 0.7
	// strainSettle is how long figures may still rest on the speed before: they cover half
	// a second, and an order takes a tenth.
	strainSettle = 700 * time.Millisecond
	// harmShare is the part of Params.Harm over the target after which nothing fills.
	harmShare = 0.3
	// stopShare is the part after which a run whose speed the worker did not confirm is
	// stopped.
	stopShare = 0.6
	// blameFor is how long after a raise a high latency is put down to it: two looks and
	// strainSettle.
	blameFor = 2 * time.Second
	// raiseLeast is the step in percent beyond what is known to be tolerated, to which
	// a run returns in one step.
	raiseLeast = 12
)

// sharing is how what fills on one worker is held back.
type sharing struct {
	changedAt time.Duration // when a speed was last changed
	overSince time.Duration // since when a serving task is over its target; 0: it is not
	raised    *placement    // what changedAt raised, if it raised anything
}

// sharers returns the runs on w that serve users within a target, and those that fill;
// none where nothing fills, as on most workers.
func (w *worker) sharers() (serving, filling []*placement) {
	if !w.fills() {
		return nil, nil
	}
	for _, p := range w.sortedPlaces() {
		switch {
		case p.stopping:
		case p.unit.spec().BestEffortCPU:
			filling = append(filling, p)
		case p.unit.spec().TailLatencyTarget > 0:
			serving = append(serving, p)
		}
	}
	return serving, filling
}

// fills says whether anything on w fills.
func (w *worker) fills() bool {
	for _, p := range w.places {
		if p.unit.spec().BestEffortCPU {
			return true
		}
	}
	return false
}

// shared says whether w has to be looked at often.
func (w *worker) shared() bool {
	serving, filling := w.sharers()
	return len(serving) > 0 && len(filling) > 0
}

// share sets the speeds of what fills on w after a look.
func (e *Engine) share(now time.Duration, w *worker) {
	serving, filling := w.sharers()
	if len(filling) == 0 {
		return
	}
	for _, p := range filling {
		if len(serving) == 0 || p.pace.percent == unknownPace {
			e.setPace(now, p, e.tolerance(p, serving))
		}
	}
	if len(serving) == 0 {
		w.sharing = sharing{}
		return
	}
	e.balance(now, w, serving, filling)
}

func (e *Engine) balance(now time.Duration, w *worker, serving, filling []*placement) {
	s := &w.sharing
	strain := strainOf(serving)
	if strain < 1 {
		s.overSince = 0
	} else if s.overSince == 0 {
		s.overSince = now
	}
	harmed := s.overFor(now, e.params.MaxLatencyViolation, harmShare)
	if now-s.changedAt < strainSettle && !harmed {
		return
	}
	switch {
	case harmed:
		e.holdBack(now, w, serving, filling, strain, 0)
		if s.overFor(now, e.params.MaxLatencyViolation, stopShare) {
			e.stopUnheld(now, filling)
		}
	case strain >= 1:
		e.holdBack(now, w, serving, filling, strain, 0.5)
	case strain > strainCeiling:
		e.holdBack(now, w, serving, s.suspects(e, now, serving, filling), strain, 0.5)
	case strain > 0 && strain < strainFloor:
		e.letGo(now, w, serving, filling)
	}
}

// overFor says whether a serving task has been over its target for a share of what counts
// as harm.
func (s *sharing) overFor(now, harm time.Duration, share float64) bool {
	return s.overSince != 0 && now-s.overSince >= time.Duration(share*float64(harm))
}

// stopUnheld stops what could not be held back: the worker has not confirmed the order, or
// takes none.
func (e *Engine) stopUnheld(now time.Duration, filling []*placement) {
	for _, p := range filling {
		if p.pace.confirmed || !p.unit.mayStop(0) {
			continue
		}
		e.logDecision(p, "move", "the worker does not hold it back")
		e.stopUnit(now, p.unit, CauseInterference)
	}
}

// suspects returns the run that is held back first: the one raised a moment ago, else the
// one whose image is tolerated least.
func (s *sharing) suspects(e *Engine, now time.Duration, serving, filling []*placement) []*placement {
	var worst *placement
	for _, p := range filling {
		switch {
		case p.pace.percent <= 0:
		case p == s.raised && now-s.changedAt < blameFor:
			return []*placement{p}
		case worst == nil || e.tolerance(p, serving) < e.tolerance(worst, serving):
			worst = p
		}
	}
	if worst == nil {
		return nil
	}
	return []*placement{worst}
}

// strainOf returns the worst tail latency in parts of its target; 0 where nothing is
// known of any.
func strainOf(serving []*placement) float64 {
	worst := 0.0
	for _, p := range serving {
		if p.state == placeRunning {
			worst = max(worst, float64(p.load)*float64(time.Millisecond)/float64(p.unit.spec().TailLatencyTarget))
		}
	}
	return worst
}

// holdBack lowers runs that fill to a part of their speed, and learns from it.
func (e *Engine) holdBack(now time.Duration, w *worker, serving, filling []*placement, strain, part float64) {
	w.sharing.raised = nil
	for _, p := range filling {
		if p.pace.percent <= 0 {
			continue
		}
		for _, s := range serving {
			e.interference.observeViolation(pairOf(p, s), p.pace.percent, strain)
		}
		e.logDecision(p, "hold back", fmt.Sprintf("from %d%%, tail latency at %.2f of its target", p.pace.percent, strain))
		e.setPace(now, p, int(part*float64(p.pace.percent)))
		w.sharing.changedAt = now
	}
}

// letGo raises one run that fills, of the image that is tolerated best.
func (e *Engine) letGo(now time.Duration, w *worker, serving, filling []*placement) {
	var best *placement
	for _, p := range filling {
		for _, s := range serving {
			e.interference.observeTolerated(pairOf(p, s), p.pace.percent)
		}
		if p.state != placeRunning || p.pace.percent >= fullPace {
			continue
		}
		if best == nil || e.tolerance(p, serving) > e.tolerance(best, serving) {
			best = p
		}
	}
	if best == nil {
		return
	}
	step := max(raiseLeast, e.tolerance(best, serving)-best.pace.percent)
	percent := min(fullPace, best.pace.percent+step)
	e.logDecision(best, "let go", fmt.Sprintf("from %d%% to %d%%", best.pace.percent, percent))
	e.setPace(now, best, percent)
	w.sharing.changedAt = now
	w.sharing.raised = best
}

// tolerance returns the speed in percent at which p may fill beside all that serve; full
// speed where nothing does.
func (e *Engine) tolerance(p *placement, serving []*placement) int {
	least := float64(fullPace)
	for _, s := range serving {
		least = min(least, e.interference.tolerance(pairOf(p, s)))
	}
	return int(least)
}

func pairOf(fills, serves *placement) imagePair {
	return imagePair{bestEffort: fills.unit.spec().Image, latencySensitive: serves.unit.spec().Image}
}

// join sets speeds as p's start leaves: its own where it fills, that of what fills already
// where it serves.
func (e *Engine) join(now time.Duration, p *placement) {
	p.pace = pace{percent: fullPace, confirmed: true}
	s := p.unit.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return
	}
	serving, filling := p.worker.sharers()
	for _, f := range filling {
		if s.BestEffortCPU && f != p || f.state == placeRecording {
			continue // its own start sets it
		}
		if tolerated := e.tolerance(f, serving); tolerated < f.pace.percent {
			e.setPace(now, f, tolerated)
			p.worker.sharing.changedAt = now
		}
	}
}
