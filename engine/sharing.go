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
//   - under latencyRatioFloor one filling task is raised a step, of the image that is tolerated
//     best, so that what follows can be put down to its pair of images.
//
// It is additive increase and multiplicative decrease, as in congestion control, since the
// load of the serving tasks is not known and changes within seconds.
const (
	// latencyRatioCeiling and strainFloor are tail latencies in parts of the target.
	latencyRatioCeiling = 0.85
	latencyRatioFloor   = 0.7
	// paceSettleTime is how long figures may still rest on the speed before: they cover half
	// a second, and an order takes a tenth.
	paceSettleTime = 700 * time.Millisecond
	// pauseAfterShare is the part of Params.Harm over the target after which nothing fills.
	pauseAfterShare = 0.3
	// stopAfterShare is the part after which a run whose speed the worker did not confirm is
	// stopped.
	stopAfterShare = 0.6
	// raiseBlameWindow is how long after a raise a high latency is put down to it: two looks and
	// strainSettle.
	raiseBlameWindow = 2 * time.Second
	// minRaiseStep is the step in percent beyond what is known to be tolerated, to which
	// a run returns in one step.
	minRaiseStep = 12
)

// sharing is how what fills on one worker is held back.
type sharing struct {
	changedAt      time.Duration // when a speed was last changed
	violationSince time.Duration // since when a serving task is over its target; 0: it is not
	lastRaised     *placement    // what changedAt raised, if it raised anything
}

// colocatedPlacements returns the runs on w that serve users within a target, and those that fill;
// none where nothing fills, as on most workers.
func (w *worker) colocatedPlacements() (sensitive, bestEffort []*placement) {
	if !w.hasBestEffort() {
		return nil, nil
	}
	for _, p := range w.sortedPlacements() {
		switch {
		case p.stopping:
		case p.unit.spec().BestEffortCPU:
			bestEffort = append(bestEffort, p)
		case p.unit.spec().TailLatencyTarget > 0:
			sensitive = append(sensitive, p)
		}
	}
	return sensitive, bestEffort
}

// hasBestEffort says whether anything on w hasBestEffort.
func (w *worker) hasBestEffort() bool {
	for _, p := range w.placements {
		if p.unit.spec().BestEffortCPU {
			return true
		}
	}
	return false
}

// needsFrequentPolls says whether w has to be looked at often.
func (w *worker) needsFrequentPolls() bool {
	sensitive, bestEffort := w.colocatedPlacements()
	return len(sensitive) > 0 && len(bestEffort) > 0
}

// adjustPaces sets the speeds of what fills on w after a look.
func (e *Engine) adjustPaces(now time.Duration, w *worker) {
	sensitive, bestEffort := w.colocatedPlacements()
	if len(bestEffort) == 0 {
		return
	}
	for _, p := range bestEffort {
		if len(sensitive) == 0 || p.pace.percent == unknownPace {
			e.setPace(now, p, e.toleratedPace(p, sensitive))
		}
	}
	if len(sensitive) == 0 {
		w.sharing = sharing{}
		return
	}
	e.controlPaces(now, w, sensitive, bestEffort)
}

func (e *Engine) controlPaces(now time.Duration, w *worker, sensitive, bestEffort []*placement) {
	s := &w.sharing
	ratio := worstLatencyRatio(sensitive)
	if ratio < 1 {
		s.violationSince = 0
	} else if s.violationSince == 0 {
		s.violationSince = now
	}
	mustPause := s.inViolationFor(now, e.params.MaxLatencyViolation, pauseAfterShare)
	if now-s.changedAt < paceSettleTime && !mustPause {
		return
	}
	switch {
	case mustPause:
		e.throttle(now, w, sensitive, bestEffort, ratio, 0)
		if s.inViolationFor(now, e.params.MaxLatencyViolation, stopAfterShare) {
			e.stopUnconfirmed(now, bestEffort)
		}
	case ratio >= 1:
		e.throttle(now, w, sensitive, bestEffort, ratio, 0.5)
	case ratio > latencyRatioCeiling:
		e.throttle(now, w, sensitive, s.pickToThrottle(e, now, sensitive, bestEffort), ratio, 0.5)
	case ratio > 0 && ratio < latencyRatioFloor:
		e.raisePace(now, w, sensitive, bestEffort)
	}
}

// inViolationFor says whether a serving task has been over its target for a share of what counts
// as harm.
func (s *sharing) inViolationFor(now, limit time.Duration, share float64) bool {
	return s.violationSince != 0 && now-s.violationSince >= time.Duration(share*float64(limit))
}

// stopUnconfirmed stops what could not be held back: the worker has not confirmed the order, or
// takes none.
func (e *Engine) stopUnconfirmed(now time.Duration, bestEffort []*placement) {
	for _, p := range bestEffort {
		if p.pace.confirmed || !p.unit.mayStop(0) {
			continue
		}
		e.logDecision(p, "move", "the worker does not hold it back")
		e.stopUnit(now, p.unit, CauseInterference)
	}
}

// pickToThrottle returns the run that is held back first: the one raised a moment ago, else the
// one whose image is tolerated least.
func (s *sharing) pickToThrottle(e *Engine, now time.Duration, sensitive, bestEffort []*placement) []*placement {
	var worst *placement
	for _, p := range bestEffort {
		switch {
		case p.pace.percent <= 0:
		case p == s.lastRaised && now-s.changedAt < raiseBlameWindow:
			return []*placement{p}
		case worst == nil || e.toleratedPace(p, sensitive) < e.toleratedPace(worst, sensitive):
			worst = p
		}
	}
	if worst == nil {
		return nil
	}
	return []*placement{worst}
}

// worstLatencyRatio returns the worst tail latency in parts of its target; 0 where nothing is
// known of any.
func worstLatencyRatio(sensitive []*placement) float64 {
	worst := 0.0
	for _, p := range sensitive {
		if p.state == placementRunning {
			worst = max(worst, float64(p.load)*float64(time.Millisecond)/float64(p.unit.spec().TailLatencyTarget))
		}
	}
	return worst
}

// throttle lowers runs that fill to a part of their speed, and learns from it.
func (e *Engine) throttle(now time.Duration, w *worker, sensitive, bestEffort []*placement, ratio, factor float64) {
	w.sharing.lastRaised = nil
	for _, p := range bestEffort {
		if p.pace.percent <= 0 {
			continue
		}
		for _, s := range sensitive {
			e.interference.observeViolation(pairOf(p, s), p.pace.percent, ratio)
		}
		e.logDecision(p, "hold back", fmt.Sprintf("from %d%%, tail latency at %.2f of its target", p.pace.percent, ratio))
		e.setPace(now, p, int(factor*float64(p.pace.percent)))
		w.sharing.changedAt = now
	}
}

// raisePace raises one run that fills, of the image that is tolerated best.
func (e *Engine) raisePace(now time.Duration, w *worker, sensitive, bestEffort []*placement) {
	var best *placement
	for _, p := range bestEffort {
		for _, s := range sensitive {
			e.interference.observeTolerated(pairOf(p, s), p.pace.percent)
		}
		if p.state != placementRunning || p.pace.percent >= fullPace {
			continue
		}
		if best == nil || e.toleratedPace(p, sensitive) > e.toleratedPace(best, sensitive) {
			best = p
		}
	}
	if best == nil {
		return
	}
	step := max(minRaiseStep, e.toleratedPace(best, sensitive)-best.pace.percent)
	percent := min(fullPace, best.pace.percent+step)
	e.logDecision(best, "let go", fmt.Sprintf("from %d%% to %d%%", best.pace.percent, percent))
	e.setPace(now, best, percent)
	w.sharing.changedAt = now
	w.sharing.lastRaised = best
}

// toleratedPace returns the speed in percent at which p may fill beside all that serve; full
// speed where nothing does.
func (e *Engine) toleratedPace(p *placement, sensitive []*placement) int {
	lowest := float64(fullPace)
	for _, s := range sensitive {
		lowest = min(lowest, e.interference.tolerance(pairOf(p, s)))
	}
	return int(lowest)
}

func pairOf(bestEffort, sensitive *placement) imagePair {
	return imagePair{bestEffort: bestEffort.unit.spec().Image, latencySensitive: sensitive.unit.spec().Image}
}

// initPaces sets speeds as p's start leaves: its own where it fills, that of what fills already
// where it serves.
func (e *Engine) initPaces(now time.Duration, p *placement) {
	p.pace = pace{percent: fullPace, confirmed: true}
	s := p.unit.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return
	}
	sensitive, bestEffort := p.worker.colocatedPlacements()
	for _, f := range bestEffort {
		if s.BestEffortCPU && f != p || f.state == placementUnrecorded {
			continue // its own start sets it
		}
		if tolerated := e.toleratedPace(f, sensitive); tolerated < f.pace.percent {
			e.setPace(now, f, tolerated)
			p.worker.sharing.changedAt = now
		}
	}
}
