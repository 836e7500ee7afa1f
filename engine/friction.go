package engine

// friction orders workers for u by how little it would disturb, or be disturbed, there:
// from 0, where it has nothing to share, to 100.
func (e *Engine) friction(u *unit, w *worker) int {
	s := u.spec()
	if !s.BestEffortCPU && s.TailLatencyTarget == 0 {
		return 0
	}
	worst := 0.0
	for _, p := range w.places {
		o := p.unit.spec()
		switch {
		case s.BestEffortCPU && o.TailLatencyTarget > 0 && !o.BestEffortCPU:
			worst = max(worst, fullPace-e.interference.tolerance(imagePair{fills: s.Image, serves: o.Image}))
		case s.TailLatencyTarget > 0 && o.BestEffortCPU:
			worst = max(worst, fullPace-e.interference.tolerance(imagePair{fills: o.Image, serves: s.Image}))
		}
	}
	if s.BestEffortCPU {
		worst = max(worst, e.starved(u, w))
	}
	return int(worst)
}

// starved returns how many of 100 parts of u's processor time w would not have: what
// others are counted with, and what fills there already.
func (e *Engine) starved(u *unit, w *worker) float64 {
	want := u.spec().Need.MilliCPU
	if want == 0 {
		return 0
	}
	idle := w.free().MilliCPU
	for _, p := range w.places {
		if p.unit.spec().BestEffortCPU {
			idle -= p.unit.spec().Need.MilliCPU
		}
	}
	missing := float64(want-max(idle, 0)) / float64(want)
	return max(0, fullPace*missing)
}
