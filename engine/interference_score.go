package engine

// interferenceScore orders workers for u by how little it would disturb, or be disturbed, there:
// from 0, where it has nothing to share, to 100.
func (e *Engine) interferenceScore(u *unit, w *worker) int {
	s := u.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return 0
	}
	worst := 0.0
	for _, p := range w.places {
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

// cpuShortfall returns how many of 100 parts of u's processor time w would not have: what
// others are counted with, and what fills there already.
func (e *Engine) cpuShortfall(u *unit, w *worker) float64 {
	needed := u.spec().Need.MilliCPU
	if needed == 0 {
		return 0
	}
	idle := w.free().MilliCPU
	for _, p := range w.places {
		if p.unit.spec().BestEffortCPU {
			idle -= p.unit.spec().Need.MilliCPU
		}
	}
	missing := float64(needed-max(idle, 0)) / float64(needed)
	return max(0, fullPace*missing)
}
