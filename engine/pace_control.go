package engine

import (
	"fmt"
	"time"
)

// Best-effort tasks (Step.BestEffortCPU) use the processor time that others leave and may slow
// latency-sensitive tasks (Step.TailLatencyTarget) on the same worker. Each poll reports the tail
// latencies of the latter, and the speed limits of the former follow by additive increase and
// multiplicative decrease, as in congestion control: the load of the latency-sensitive tasks is
// unknown and changes within seconds.
const (
	// latencyRatioCeiling and latencyRatioFloor are ratios of tail latency to its target.
	latencyRatioCeiling = 0.85
	latencyRatioFloor   = 0.7
	// paceSettleTime is how long reported latencies may still reflect the previous limit: they
	// cover half a second, and an order takes about a tenth.
	paceSettleTime = 700 * time.Millisecond
	// pauseAfterShare is the share of Params.MaxLatencyViolation after which best-effort tasks
	// are paused.
	pauseAfterShare = 0.3
	// stopAfterShare is the share after which runs with an unconfirmed limit are stopped.
	stopAfterShare = 0.6
	// raiseBlameWindow is how long after a raise a high latency is attributed to it: two polls
	// and paceSettleTime.
	raiseBlameWindow = 2 * time.Second
	// minRaiseStep is the smallest step of a raise in percent. A run returns to the limit known
	// to be tolerated in one step.
	minRaiseStep = 12
)

// paceControl is the state of the speed control of one worker.
type paceControl struct {
	changedAt      time.Duration // when a limit was last changed
	violationSince time.Duration // since when a latency-sensitive task exceeds its target; 0 if none does
	lastRaised     *placement    // the run raised at changedAt, if any
}

// colocatedPlacements returns the latency-sensitive and the best-effort runs on w, without
// those being stopped. Both are nil if w has no best-effort run.
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

// hasBestEffort reports whether w has a best-effort run.
func (w *worker) hasBestEffort() bool {
	for _, p := range w.placements {
		if p.unit.spec().BestEffortCPU {
			return true
		}
	}
	return false
}

// needsFrequentPolls reports whether w runs both latency-sensitive and best-effort tasks.
func (w *worker) needsFrequentPolls() bool {
	sensitive, bestEffort := w.colocatedPlacements()
	return len(sensitive) > 0 && len(bestEffort) > 0
}

// adjustPaces sets the speed limits of the best-effort runs on w after a poll.
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
		w.paceControl = paceControl{}
		return
	}
	e.controlPaces(now, w, sensitive, bestEffort)
}

// controlPaces adjusts the limits of best-effort runs. Above latencyRatioCeiling it halves the limit
// of the most likely cause, above the target all limits, and again once that had time to take
// effect; if the violation lasts, it pauses all of them and then stops those whose limit is not
// confirmed. Below latencyRatioFloor it raises a single limit, so that the effect can be
// attributed to one pair of images.
func (e *Engine) controlPaces(now time.Duration, w *worker, sensitive, bestEffort []*placement) {
	control := &w.paceControl
	ratio := worstLatencyRatio(sensitive)
	if ratio < 1 {
		control.violationSince = 0
	} else if control.violationSince == 0 {
		control.violationSince = now
	}
	mustPause := control.inViolationFor(now, e.params.MaxLatencyViolation, pauseAfterShare)
	if now-control.changedAt < paceSettleTime && !mustPause {
		return
	}
	switch {
	case mustPause:
		e.throttle(now, w, sensitive, bestEffort, ratio, 0)
		if control.inViolationFor(now, e.params.MaxLatencyViolation, stopAfterShare) {
			e.stopUnconfirmed(now, bestEffort)
		}
	case ratio >= 1:
		e.throttle(now, w, sensitive, bestEffort, ratio, 0.5)
	case ratio > latencyRatioCeiling:
		e.throttle(now, w, sensitive, control.pickToThrottle(e, now, sensitive, bestEffort), ratio, 0.5)
	case ratio > 0 && ratio < latencyRatioFloor:
		e.raisePace(now, w, sensitive, bestEffort)
	}
}

// inViolationFor reports whether a target has been exceeded for the given share of limit.
func (s *paceControl) inViolationFor(now, limit time.Duration, share float64) bool {
	return s.violationSince != 0 && now-s.violationSince >= time.Duration(share*float64(limit))
}

// stopUnconfirmed stops the best-effort runs whose limit the worker has not confirmed.
func (e *Engine) stopUnconfirmed(now time.Duration, bestEffort []*placement) {
	for _, p := range bestEffort {
		if p.pace.confirmed || !p.unit.mayStop(0) {
			continue
		}
		e.logDecision(p, "move", "the worker has not confirmed its speed limit")
		e.stopUnit(now, p.unit, CauseInterference)
	}
}

// pickToThrottle returns the run to slow down first: one that was raised a moment ago, else the
// one with the lowest tolerated limit.
func (s *paceControl) pickToThrottle(e *Engine, now time.Duration, sensitive, bestEffort []*placement) []*placement {
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

// worstLatencyRatio returns the highest ratio of tail latency to target, or 0 if no latency is
// known.
func worstLatencyRatio(sensitive []*placement) float64 {
	worst := 0.0
	for _, p := range sensitive {
		if p.state == placementRunning {
			worst = max(worst, float64(p.load)*float64(time.Millisecond)/float64(p.unit.spec().TailLatencyTarget))
		}
	}
	return worst
}

// throttle multiplies the limits of best-effort runs by factor and records that their present
// limits were not tolerated.
func (e *Engine) throttle(now time.Duration, w *worker, sensitive, bestEffort []*placement, ratio, factor float64) {
	w.paceControl.lastRaised = nil
	for _, p := range bestEffort {
		if p.pace.percent <= 0 {
			continue
		}
		for _, s := range sensitive {
			e.interference.observeViolation(pairOf(p, s), p.pace.percent, ratio)
		}
		e.logDecision(p, "slow down", fmt.Sprintf("from %d%% of full speed, a neighbour's tail latency is %.2f of its target", p.pace.percent, ratio))
		e.setPace(now, p, int(factor*float64(p.pace.percent)))
		w.paceControl.changedAt = now
	}
}

// raisePace records that the present limits are tolerated and raises that of the best-effort run
// with the highest tolerated limit.
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
	e.logDecision(best, "speed up", fmt.Sprintf("from %d%% to %d%% of full speed", best.pace.percent, percent))
	e.setPace(now, best, percent)
	w.paceControl.changedAt = now
	w.paceControl.lastRaised = best
}

// toleratedPace returns the limit in percent at which p may run next to the latency-sensitive
// runs; full speed if there are none.
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

// initPaces sets limits when the start of p is sent: its own if it is best-effort, those of its
// best-effort neighbours if it is latency-sensitive.
func (e *Engine) initPaces(now time.Duration, p *placement) {
	p.pace = pace{percent: fullPace, confirmed: true}
	s := p.unit.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return
	}
	sensitive, bestEffort := p.worker.colocatedPlacements()
	for _, neighbour := range bestEffort {
		if s.BestEffortCPU && neighbour != p || neighbour.state == placementUnrecorded {
			continue // set when its own start is sent
		}
		if tolerated := e.toleratedPace(neighbour, sensitive); tolerated < neighbour.pace.percent {
			e.setPace(now, neighbour, tolerated)
			p.worker.paceControl.changedAt = now
		}
	}
}
