package engine

import (
	"cmp"
	"slices"
	"time"
)

// queue returns the units that wait, in the order in which they are served:
//
//  1. units of jobs within their account's guarantee,
//  2. by priority of the queue, 0 first,
//  3. by the time at which the unit has to start at the latest for its job's objective;
//     those that can't meet it any more come after,
//  4. by acceptance.
func (e *Engine) queue(now time.Duration, protected map[*job]bool) []*unit {
	var out []*unit
	for _, j := range e.sequence {
		if j.state.Final() {
			continue
		}
		for _, u := range j.units {
			if u.state == unitWaiting && now >= u.notBefore {
				out = append(out, u)
			}
		}
	}
	first := func(u *unit) int {
		if protected[u.job] {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(first(a), first(b)),
			cmp.Compare(a.job.spec.Terms.Priority, b.job.spec.Terms.Priority),
			cmp.Compare(e.latestStart(now, a), e.latestStart(now, b)),
			cmp.Compare(a.job.order, b.job.order),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return out
}

// latestStart returns when u has to start for its job's objective; never where that is
// missed already.
func (e *Engine) latestStart(now time.Duration, u *unit) time.Duration {
	if u.spec().LongRunning {
		return u.since // its users wait from the first moment
	}
	if !e.params.Policy.DeadlineOrder {
		return u.job.accepted
	}
	left := e.chainFrom(u)
	return deadline(now+left, u.job) - left
}

// deadline returns the objective of a job that would be completed at end, and never where
// that is missed: what can still be served in time goes first.
func deadline(end time.Duration, j *job) time.Duration {
	if objective := j.objective(); end <= objective {
		return objective
	}
	return never
}

// chainFrom returns how long the longest chain of work from u's step on is expected to
// take.
func (e *Engine) chainFrom(u *unit) time.Duration {
	steps := u.job.spec.Steps
	longest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= u.step; i-- {
		longest[i] += steps[i].Estimate
		for _, before := range steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return time.Duration(e.tracker.ratio(u.job.spec.Queue) * float64(longest[u.step]))
}

// protected returns the jobs of priority 0 that their accounts' guarantees cover, in
// order of acceptance.
func (e *Engine) protected() map[*job]bool {
	byAccount := map[string][]*job{}
	for _, j := range e.sequence {
		if j.spec.Terms.Priority == 0 && !j.state.Final() && j.spec.Account != "" {
			byAccount[j.spec.Account] = append(byAccount[j.spec.Account], j)
		}
	}
	out := map[*job]bool{}
	for account, jobs := range byAccount {
		left := e.catalog.Guaranteed(account)
		slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
		for _, j := range jobs {
			need := j.accelerators()
			if need > left {
				continue
			}
			left -= need
			out[j] = true
		}
	}
	return out
}

// accelerators returns the most that one step of the job takes at once.
func (j *job) accelerators() int {
	most := 0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		most = max(most, s.Count*s.Need.Accelerators)
	}
	return most
}
