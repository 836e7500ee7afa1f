package engine

import (
	"fmt"
	"math"
	"time"
)

// slowRatio is how many times longer than on the fastest worker a run has to take for a worker to
// count as slow. Smaller differences are within the error of expected run times.
const slowRatio = 1.5

// speedClassWidth is the width of a speed class as a logarithm. Workers of one class are chosen by
// the criteria that apply to equal workers.
const speedClassWidth = 0.25

// poolSpeeds is the range of the upper factors of a service's usable workers in a round.
type poolSpeeds struct {
	fastest, slowest float64
}

// speedChoice restricts the workers of a unit by their speed.
type speedChoice struct {
	// limit is the largest factor that is allowed; +Inf if the unit may run on any worker.
	limit float64
	// order is 1 if faster workers are preferred, -1 if slower ones are, 0 if speed does not matter.
	order int
}

var (
	// anySpeed is the choice of a unit whose service has equal workers.
	anySpeed = speedChoice{limit: math.Inf(1)}
	// slowestFirst and fastestFirst are the choices of units that may run on any worker.
	slowestFirst = speedChoice{limit: math.Inf(1), order: -1}
	fastestFirst = speedChoice{limit: math.Inf(1), order: 1}
)

// limited reports whether some workers may be too slow.
func (c speedChoice) limited() bool { return !math.IsInf(c.limit, 1) }

// loadSpeeds determines the factors of the usable workers of services whose workers differ.
func (r *round) loadSpeeds() {
	for _, w := range r.usable.workers {
		service := w.info.Service
		if !r.e.speedsDiffer(service) {
			continue
		}
		factor, logError := r.e.learnedSpeed(r.now, w)
		w.round.factor, w.round.upperFactor = factor, factor*math.Exp(logError)
		if r.speeds == nil {
			r.speeds = map[string]poolSpeeds{}
		}
		s, known := r.speeds[service]
		if !known {
			s = poolSpeeds{w.round.upperFactor, w.round.upperFactor}
		}
		r.speeds[service] = poolSpeeds{min(s.fastest, w.round.upperFactor), max(s.slowest, w.round.upperFactor)}
	}
	for _, w := range r.usable.workers {
		s, differ := r.speeds[w.info.Service]
		w.round.slow = differ && w.round.upperFactor >= slowRatio*s.fastest
	}
}

// fastEnough reports whether w is within the limit of u's speed choice, also if its factor is
// underestimated by its error. Capacity that is being freed for u is: the limit falls while the victims
// stop, and they would be evicted for nothing.
func (r *round) fastEnough(u *unit, w *worker) bool {
	return len(r.speeds) == 0 || w.round.upperFactor <= r.speedChoice(u).limit || u.claims[w] > 0
}

// allowAnySpeed lifts the speed limit of u for the rest of the round. It reports whether there was one.
func (r *round) allowAnySpeed(u *unit) bool {
	if !r.speedChoice(u).limited() {
		return false
	}
	r.choice = fastestFirst
	r.preferredUnit = nil
	return true
}

// speedChoice returns the speed choice of u in this round.
func (r *round) speedChoice(u *unit) speedChoice {
	if len(r.speeds) == 0 {
		return anySpeed
	}
	if r.choiceUnit != u {
		r.choiceUnit, r.choice = u, anySpeed // in effect while the choice is made
		r.choice = r.findSpeedChoice(u)
	}
	return r.choice
}

// findSpeedChoice restricts u to workers on which its job can meet its objective, as long as there
// are any. If the objective will be missed, u is restricted to workers that are not slow if waiting
// for them takes less time than running on a slow one. Work that is in time on every worker takes
// slow workers first, so that fast ones stay free for work that needs them.
func (r *round) findSpeedChoice(u *unit) speedChoice {
	speeds, differ := r.speeds[u.job.spec.Service]
	if !differ || u.spec().LongRunning || u.spec().BestEffortCPU || speeds.slowest < slowRatio*speeds.fastest {
		return anySpeed
	}
	limit := r.slowestInTime(u)
	switch {
	case limit >= speeds.slowest && u.job.spec.QueuePolicy.Priority > 0:
		return slowestFirst
	case limit >= speeds.slowest:
		return fastestFirst
	case limit < speeds.fastest:
		return r.choiceIfLate(u, speeds)
	}
	choice := r.limitIfItFits(u, limit)
	if u.job.spec.QueuePolicy.Priority == 0 || !choice.limited() {
		return choice // urgent work may evict
	}
	if r.fitsWithin(u, r.latestStartOn(u, speeds.fastest)-r.now) {
		return choice
	}
	return r.choiceIfLate(u, speeds)
}

// slowestInTime returns the factor of the slowest workers on which u's job would meet its objective
// if u started now and its later steps ran on average workers.
func (r *round) slowestInTime(u *unit) float64 {
	own := r.e.estimate(u)
	if own <= 0 {
		return math.Inf(1)
	}
	later := r.e.criticalPathFrom(u) - own
	return float64(r.e.objective(u.job)-r.now-later) / float64(own)
}

// latestStartOn returns when u has to start on workers of a factor for its job to meet its objective.
func (r *round) latestStartOn(u *unit, factor float64) time.Duration {
	own := r.e.estimate(u)
	later := r.e.criticalPathFrom(u) - own
	return r.e.objective(u.job) - later - scale(own, factor)
}

// choiceIfLate returns the choice for a unit that can't be in time: whichever ends first, the wait for
// workers that are not slow or a run on slow ones. The time that it has been late counts, since other
// units may take the workers that it is expected to fit on.
func (r *round) choiceIfLate(u *unit, speeds poolSpeeds) speedChoice {
	choice := r.limitIfItFits(u, slowRatio*speeds.fastest)
	if !choice.limited() {
		return choice
	}
	saved := scale(r.e.estimate(u), speeds.slowest-speeds.fastest)
	lateSince := max(u.waitingSince, r.latestStartOn(u, speeds.fastest))
	if r.fitsWithin(u, saved-max(0, r.now-lateSince)) {
		return choice
	}
	return fastestFirst
}

// fitsWithin reports whether u is expected to fit on its preferred workers within a delay.
func (r *round) fitsWithin(u *unit, delay time.Duration) bool {
	for _, set := range r.findPreferredDomains(u).domains {
		if at, _ := r.forecastFit(u, set, delay); at <= delay {
			return true
		}
	}
	return false
}

// limitIfItFits restricts u to a factor, unless its preferred workers then could not hold it even
// with nothing else running there. A limit that it returns is in effect.
func (r *round) limitIfItFits(u *unit, limit float64) speedChoice {
	r.choice = anySpeed
	preferred := r.findPreferredDomains(u)
	r.choice = speedChoice{limit: limit, order: 1}
	for _, set := range preferred.domains {
		if r.fitsWhenEmpty(u, set) {
			return r.choice
		}
	}
	return fastestFirst
}

// speedRank orders candidate workers for u by speed class, those to be preferred first.
func (r *round) speedRank(u *unit, w *worker) int {
	order := r.speedChoice(u).order
	if order == 0 {
		return 0
	}
	if order > 0 {
		// A worker known to be fast goes before an unknown one.
		return int(math.Round(math.Log(w.round.upperFactor) / speedClassWidth))
	}
	return -int(math.Round(math.Log(w.round.factor) / speedClassWidth))
}

// gangRank returns the speed rank of the slowest of the workers, which determines the run time, if
// u prefers fast workers; else 0.
func (r *round) gangRank(u *unit, workers []*worker) int {
	if r.speedChoice(u).order <= 0 {
		return 0
	}
	rank := math.MinInt
	for _, w := range workers {
		rank = max(rank, r.speedRank(u, w))
	}
	return rank
}

// speedDetail describes for the log the speed of the chosen workers and the limit that applied.
func (r *round) speedDetail(u *unit, workers []*worker) string {
	fastest, slowest := math.Inf(1), 0.0
	for _, w := range workers {
		fastest, slowest = min(fastest, w.round.factor), max(slowest, w.round.factor)
	}
	limit := "any speed"
	if choice := r.speedChoice(u); choice.limited() {
		limit = fmt.Sprintf("in time up to factor %.2f", choice.limit)
	}
	return fmt.Sprintf("run time factors %.2f to %.2f, %s", fastest, slowest, limit)
}
