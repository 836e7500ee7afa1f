package engine

// interferenceScore estimates how much sharing a worker would slow u or the tasks that run there,
// from 0 (none) to 100.
func (e *Engine) interferenceScore(u *unit, w *worker) int {
	s := u.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return 0
	}
	worst := 0.0
	for _, p := range w.placements {
		o := p.unit.spec()
		switch {
		case s.BestEffortCPU && o.TailLatencyTarget > 0 && !o.BestEffortCPU:
			worst = max(worst, fullPace-e.interference.tolerance(imagePair{bestEffort: s.Image, latencySensitive: o.Image}))
		case s.TailLatencyTarget > 0 && o.BestEffortCPU:
			worst = max(worst, fullPace-e.interference.tolerance(imagePair{bestEffort: o.Image, latencySensitive: s.Image}))
		}
	}
	if s.BestEffortCPU {
		worst = max(worst, e.cpuShortfall(u, w))
	}
	return int(worst)
}

// cpuShortfall returns the percentage of the processor time that u needs which w can't provide,
// given what is reserved there and what other best-effort tasks need.
func (e *Engine) cpuShortfall(u *unit, w *worker) float64 {
	needed := u.spec().Need.MilliCPU
	if needed == 0 {
		return 0
	}
	idle := w.free().MilliCPU
	for _, p := range w.placements {
		if p.unit.spec().BestEffortCPU {
			idle -= p.unit.spec().Need.MilliCPU
		}
	}
	missing := float64(needed-max(idle, 0)) / float64(needed)
	return max(0, fullPace*missing)
}
