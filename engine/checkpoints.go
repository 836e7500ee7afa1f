package engine

import (
	"cmp"
	"slices"
	"time"
)

// Checkpoints of running work are put on record from time to time. Without that a planner
// whose predecessor went down together with the workers, as when a site loses power, knows
// none of them, and all work since the start of each run is done again.
const (
	// keepEvery is the least time between two such writes. Tasks save their progress each
	// second or two.
	keepEvery = time.Second
	// keepMost is how many jobs one such write covers: as many as share one call to the
	// store, so that the cost does not grow with the fleet. Those with the most work that is
	// not on record go first.
	keepMost = 15
)

// keepCheckpoints marks the jobs whose newest checkpoints go on record now.
func (e *Engine) keepCheckpoints(now time.Duration) {
	if !e.params.Policy.KeptCheckpoints || now-e.keptAt < keepEvery {
		return
	}
	e.keptAt = now
	type gain struct {
		job  *job
		work float64 // core-seconds
	}
	var gains []gain
	for _, j := range e.sequence {
		if j.state.Final() {
			continue
		}
		if work := j.unkept(); work > 0 {
			gains = append(gains, gain{j, work})
		}
	}
	slices.SortStableFunc(gains, func(a, b gain) int { return cmp.Compare(b.work, a.work) })
	for _, g := range gains[:min(len(gains), keepMost)] {
		for _, u := range g.job.units {
			u.keep()
		}
		e.change(g.job)
	}
}

// unkept returns the work, in core-seconds, that checkpoints hold and the record does not.
func (j *job) unkept() float64 {
	sum := 0.0
	for _, u := range j.units {
		if p := u.newest(); p != nil {
			since := max(u.keptTo, p.began)
			sum += u.total().CoreEquivalent() * (p.savedAt - since).Seconds()
		}
	}
	return sum
}

// newest returns the running member with the newest checkpoint that is not on record, nil
// where there is none. The checkpoint of any member is valid for the whole gang.
func (u *unit) newest() *placement {
	if u.state != unitActive || u.ending() {
		return nil
	}
	var best *placement
	for _, p := range u.places {
		if p.saved == "" || p.saved == u.saved || p.state != placeRunning {
			continue
		}
		if best == nil || p.savedAt > best.savedAt {
			best = p
		}
	}
	if best == nil || best.savedAt <= u.keptTo {
		return nil
	}
	return best
}

// keep makes the newest checkpoint the one from which the next run goes on.
func (u *unit) keep() {
	if p := u.newest(); p != nil {
		u.saved = p.saved
		u.keptTo = p.savedAt
	}
}
