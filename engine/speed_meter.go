package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workerspeed"
)

// speedMeter measures the progress of one run in windows. Its times are those of the agent's
// clock, since a report may be delayed on its way.
type speedMeter struct {
	// process is the process of the agent whose clock is used.
	process uint64
	started bool
	// skipsRestore is set for a run that may be restored from a checkpoint first. It reports the same
	// percentage until it is restored; moved is set once that has changed.
	skipsRestore, moved bool

	percent int           // at the start of the window
	at      time.Duration // start of the window
	// perPercent is the time for one percent in the previous window; 0 before the first.
	perPercent time.Duration
}

const (
	// minWindowProgress is the progress in percent over which the rate is measured. Percentages are
	// whole numbers, so a rate is off by up to a tenth.
	minWindowProgress = 20
	// stalledRatio is the smallest ratio of actual to expected progress in a window that is a
	// lower speed. Below it the task stands still, which is no property of its worker.
	stalledRatio = 0.05
)

// observe records a reported percentage and returns the time for one percent once it is measured.
// ratio compares it with the previous window: how many times longer the same progress takes; 0 in
// the first window.
func (m *speedMeter) observe(at time.Duration, process uint64, percent int) (perPercent time.Duration, ratio float64) {
	if !m.started || process != m.process || percent < m.percent || at < m.at {
		*m = speedMeter{skipsRestore: m.skipsRestore, process: process, started: true, percent: percent, at: at}
		return 0, 0
	}
	if m.skipsRestore && !m.moved {
		m.moved = percent > m.percent
		m.percent, m.at = percent, at
		return 0, 0
	}
	gained, elapsed := percent-m.percent, at-m.at
	if percent >= 100 || elapsed <= 0 {
		return 0, 0
	}
	if m.perPercent == 0 {
		if gained < minWindowProgress {
			return 0, 0
		}
		m.next(percent, at, elapsed/time.Duration(gained))
		return m.perPercent, 0
	}
	expected := float64(elapsed) / float64(m.perPercent)
	if expected < minWindowProgress && gained < minWindowProgress {
		return 0, 0
	}
	if float64(gained) < stalledRatio*expected || gained == 0 {
		return 0, 0
	}
	before := m.perPercent
	m.next(percent, at, elapsed/time.Duration(gained))
	return m.perPercent, float64(m.perPercent) / float64(before)
}

// next starts a window after one in which a percent took that time.
func (m *speedMeter) next(percent int, at, perPercent time.Duration) {
	m.percent, m.at, m.perPercent = percent, at, max(perPercent, 1)
}

// measureSpeed learns from the reported progress of a run how fast its worker is.
func (e *Engine) measureSpeed(now time.Duration, p *placement, percent int, origin ReportOrigin) {
	if !e.params.Policy.WorkerSpeeds || p.stopping || p.unit.measured() && !p.unit.onOneWorker() || !p.unit.showsSpeed() {
		return // a later change of the rate of a gang does not tell which of its workers has changed
	}
	at := now
	if origin.Process != 0 {
		at = origin.BuiltAt
	}
	p.meter.skipsRestore = p.resumed || p.adopted
	perPercent, ratio := p.meter.observe(at, origin.Process, percent)
	if ratio > 0 && p.unit.onOneWorker() {
		e.tracker.speeds.Changed(now, p.worker.info.Service, string(p.worker.info.ID), ratio)
	}
	if perPercent > 0 {
		e.observeSpeed(now, p.unit, 100*perPercent)
	}
}

// measureRun learns from the length of a completed run how fast its worker is, unless its progress
// has shown that already.
func (e *Engine) measureRun(now time.Duration, p *placement) {
	if e.params.Policy.WorkerSpeeds && p.unit.showsSpeed() && p.unit.ranFromTheBeginning() && p.unit.state != unitDone {
		e.observeSpeed(now, p.unit, now-p.startedAt)
	}
}

// observeSpeed passes the run time of a unit's current run to the model, once for each run.
func (e *Engine) observeSpeed(now time.Duration, u *unit, took time.Duration) {
	if u.measured() {
		return
	}
	u.measuredRun = u.runNumber
	workers := make([]string, 0, len(u.placements))
	for _, p := range u.placements {
		if len(workers) == 0 || workers[len(workers)-1] != string(p.worker.info.ID) {
			workers = append(workers, string(p.worker.info.ID))
		}
	}
	e.tracker.speeds.Observe(now, workerspeed.Observation{
		Pool:     u.job.spec.Service,
		Group:    u.speedGroup(),
		Queue:    u.job.spec.Queue,
		Declared: u.spec().Estimate,
		Took:     took,
		Workers:  workers,
	})
}

// measured reports whether the time of the unit's current run was passed to the model.
func (u *unit) measured() bool { return u.measuredRun == u.runNumber }

// speedGroup identifies the runs whose length is compared with that of u.
func (u *unit) speedGroup() workerspeed.GroupID {
	return workerspeed.GroupID{Job: string(u.job.spec.ID), Occurrence: u.occurrence, Step: u.step}
}

// ranFromTheBeginning reports whether the unit's current run was started by this planner and not
// from a checkpoint, so that its length is known and is that of all of its work.
func (u *unit) ranFromTheBeginning() bool {
	return !slices.ContainsFunc(u.placements, func(p *placement) bool { return p.adopted || p.resumed })
}

// showsSpeed reports whether the progress of the unit's current run depends on nothing but its work
// and its workers: all members run, near their data and on one rack if they need that.
func (u *unit) showsSpeed() bool {
	s := u.spec()
	if s.LongRunning || s.BestEffortCPU || len(u.placements) != u.size {
		return false
	}
	rack := u.placements[0].worker.info.Rack
	for _, p := range u.placements {
		if p.state != placementRunning {
			return false
		}
		if s.PreferredRack != "" && p.worker.info.Rack != s.PreferredRack || s.Gang && s.SameRack && p.worker.info.Rack != rack {
			return false
		}
	}
	return true
}

// onOneWorker reports whether all members of the unit run on the same worker.
func (u *unit) onOneWorker() bool {
	for _, p := range u.placements {
		if p.worker != u.placements[0].worker {
			return false
		}
	}
	return true
}

// speedsDiffer reports whether the workers of a service count as differing in speed.
func (e *Engine) speedsDiffer(service string) bool {
	return e.params.Policy.WorkerSpeeds && e.tracker.speeds.Differ(service)
}

// learnedSpeed returns the run time on w relative to an average worker, and the standard deviation
// of its logarithm. The workers of its service differ.
func (e *Engine) learnedSpeed(now time.Duration, w *worker) (factor, logError float64) {
	estimate := e.tracker.speeds.Estimate(now, string(w.info.ID))
	if estimate.Error == 0 {
		return 1, e.tracker.speeds.Spread(w.info.Service)
	}
	return estimate.Factor, estimate.Error
}

// slowdown returns the run time of u where it is placed, relative to average workers. The slowest
// member determines it.
func (e *Engine) slowdown(now time.Duration, u *unit) float64 {
	if len(u.placements) == 0 || !e.speedsDiffer(u.job.spec.Service) {
		return 1
	}
	slowest := 0.0
	for _, p := range u.placements {
		factor, _ := e.learnedSpeed(now, p.worker)
		slowest = max(slowest, factor)
	}
	return slowest
}

// estimateAsPlaced returns how long a run of u is expected to take on its workers.
func (e *Engine) estimateAsPlaced(now time.Duration, u *unit) time.Duration {
	return scale(e.estimate(u), e.slowdown(now, u))
}

// scale multiplies d by factor. It is exact for a factor of 1.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
