package engine

import (
	"cmp"
	"slices"
	"time"
)

// queue returns the waiting units in scheduling order: first units of jobs within their account's
// guarantee, then by queue priority (0 first), then units that can meet their job's objective, by
// their latest start, then units that can't (see queueClass and rankLate), then by acceptance. Units
// whose jobs can't be of use any more come after all priorities, unless a guarantee covers them.
func (e *Engine) queue(now time.Duration, protected map[*job]bool) []*unit {
	ranked := e.rank(now, protected)
	keys := make([]queueKey, len(ranked))
	for i := range ranked {
		keys[i] = ranked[i].key()
	}
	slices.SortFunc(keys, queueKey.compare)
	setWaitReasons(keys)
	units := make([]*unit, len(ranked))
	for i, k := range keys {
		units[i] = k.ranked.unit
		units[i].queueClass = k.ranked.class
	}
	clear(ranked) // the buffer must not keep ended units alive
	e.rankBuffer = ranked[:0]
	return units
}

// rank returns the waiting units with their ranks, in order of acceptance. The result is valid until
// the next call.
func (e *Engine) rank(now time.Duration, protected map[*job]bool) []rankedUnit {
	ranked := e.rankBuffer
	anyLate := false
	for _, j := range e.orderedJobs {
		if j.state.Final() {
			continue
		}
		jobProtected := protected[j]
		for _, u := range j.units {
			if u.state != unitWaiting || now < u.notBefore {
				continue
			}
			class, latestStart := e.classify(now, u)
			anyLate = anyLate || class == classLate
			ranked = append(ranked, rankedUnit{unit: u, protected: jobProtected, class: class, latestStart: latestStart, rankStart: latestStart})
		}
	}
	if anyLate {
		e.rankLate(now, ranked)
	}
	return ranked
}

// rankedUnit is a waiting unit with its rank.
type rankedUnit struct {
	unit      *unit
	protected bool // its job is within its account's guarantee
	class     queueClass
	// latestStart is when the unit has to start to be in time or, if it is late, of use. rankStart
	// is the same, truncated in groups with late units.
	latestStart, rankStart time.Duration
	// usage is what the account holds; 0 in groups without late units.
	usage float64
	// groupIndex is the unit's position in the result of lateGroups.
	groupIndex int
}

// key returns the sort key of the unit.
func (a *rankedUnit) key() queueKey {
	k := queueKey{
		priority:  int32(a.unit.job.spec.QueuePolicy.Priority),
		class:     a.class.order(),
		rankStart: a.rankStart,
		revision:  a.unit.job.revision,
		ranked:    a,
	}
	switch {
	case a.protected:
	case a.class == classUseless:
		k.tier, k.priority = tierUseless, 0
	default:
		k.tier = tierOther
	}
	return k
}

// queueTier decides the order before the priority does.
type queueTier uint8

const (
	tierProtected queueTier = iota // the job is within its account's guarantee
	tierOther
	// tierUseless: other jobs that can't be of use any more. Ahead of lower priorities they would take
	// the capacity of jobs that still can, see TestFloodOfUrgentGangs.
	tierUseless
)

// queueKey is the sort key of a waiting unit. It holds what decides most comparisons, so that these
// need no other memory.
type queueKey struct {
	priority  int32
	tier      queueTier
	class     queueClass
	rankStart time.Duration
	revision  int64
	ranked    *rankedUnit
}

func (a queueKey) compare(b queueKey) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.rankStart != b.rankStart {
		return cmp.Compare(a.rankStart, b.rankStart)
	}
	if c := a.ranked.compareEqualStart(b.ranked); c != 0 {
		return c
	}
	if a.revision != b.revision {
		return cmp.Compare(a.revision, b.revision)
	}
	return a.ranked.unit.compareInRevision(b.ranked.unit)
}

// compareEqualStart compares units of the same rankStart.
func (a *rankedUnit) compareEqualStart(b *rankedUnit) int {
	if a.usage != b.usage {
		return cmp.Compare(a.usage, b.usage)
	}
	return cmp.Compare(a.latestStart, b.latestStart)
}

// compareInRevision compares units of jobs of the same revision.
func (u *unit) compareInRevision(v *unit) int {
	return cmp.Or(
		cmp.Compare(u.job.spec.ID, v.job.spec.ID),
		cmp.Compare(u.occurrence, v.occurrence),
		cmp.Compare(u.step, v.step),
		cmp.Compare(u.index, v.index),
	)
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
