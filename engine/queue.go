package engine

import (
	"cmp"
	"slices"
	"time"
)

// queue returns the waiting units in scheduling order: first units of jobs within their account's
// guarantee, then by queue priority (0 first), then by the latest start that meets the job's
// objective (units that can't meet it last), then by acceptance.
func (e *Engine) queue(now time.Duration, protected map[*job]bool) []*unit {
	var ranked []rankedUnit
	for _, j := range e.orderedJobs {
		if j.state.Final() {
			continue
		}
		for _, u := range j.units {
			if u.state == unitWaiting && now >= u.notBefore {
				ranked = append(ranked, rankedUnit{u, protected[j], e.latestStart(now, u)})
			}
		}
	}
	slices.SortFunc(ranked, rankedUnit.compare)
	units := make([]*unit, len(ranked))
	for i := range ranked {
		units[i] = ranked[i].unit
	}
	return units
}

// rankedUnit is a waiting unit with its sort keys.
type rankedUnit struct {
	unit        *unit
	protected   bool // its job is within its account's guarantee
	latestStart time.Duration
}

func (a rankedUnit) compare(b rankedUnit) int {
	if a.protected != b.protected {
		if a.protected {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.unit.job.spec.QueuePolicy.Priority, b.unit.job.spec.QueuePolicy.Priority),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.unit.job.revision, b.unit.job.revision),
		cmp.Compare(a.unit.job.spec.ID, b.unit.job.spec.ID),
		cmp.Compare(a.unit.occurrence, b.unit.occurrence),
		cmp.Compare(a.unit.step, b.unit.step),
		cmp.Compare(a.unit.index, b.unit.index),
	)
}

// latestStart returns when u has to start for its job to meet its objective, or never if that
// is no longer possible.
func (e *Engine) latestStart(now time.Duration, u *unit) time.Duration {
	if u.spec().LongRunning {
		return u.waitingSince // users wait for it from the start
	}
	if !e.params.Policy.DeadlineOrder {
		return u.job.acceptedAt
	}
	work := e.criticalPathFrom(u)
	return e.deadlineIfReachable(now+work, u.job) - work
}

// deadlineIfReachable returns the objective of a job that would complete at end, or never if it
// would be missed, so that units that can still be on time go first.
func (e *Engine) deadlineIfReachable(end time.Duration, j *job) time.Duration {
	if objective := e.objective(j); end <= objective {
		return objective
	}
	return never
}

// criticalPathFrom returns the expected length of the critical path from u's step on.
func (e *Engine) criticalPathFrom(u *unit) time.Duration { return e.criticalPaths(u.job)[u.step] }

// protected returns the jobs of priority 0 that are covered by their accounts' guarantees,
// counted in order of acceptance.
func (e *Engine) protected() map[*job]bool {
	byAccount := map[string][]*job{}
	for _, j := range e.orderedJobs {
		if j.spec.QueuePolicy.Priority == 0 && !j.state.Final() && j.spec.Account != "" {
			byAccount[j.spec.Account] = append(byAccount[j.spec.Account], j)
		}
	}
	covered := map[*job]bool{}
	for account, jobs := range byAccount {
		unclaimed := e.catalog.GuaranteedAccelerators(account)
		slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.revision, b.revision) })
		for _, j := range jobs {
			need := j.peakAccelerators()
			if need > unclaimed {
				continue
			}
			unclaimed -= need
			covered[j] = true
		}
	}
	return covered
}

// peakAccelerators returns the largest number of accelerators that one step of the job uses at
// once.
func (j *job) peakAccelerators() int {
	peak := 0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		peak = max(peak, s.Count*s.Need.Accelerators)
	}
	return peak
}
