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
//  3. those that can still meet their objective before those that can't,
//  4. by the time at which the job should be completed,
//  5. by acceptance.
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
	late := func(u *unit) int {
		if now+e.estimate(u) > u.job.objective() {
			return 1
		}
		return 0
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
			cmp.Compare(late(a), late(b)),
			cmp.Compare(a.job.objective(), b.job.objective()),
			cmp.Compare(a.job.order, b.job.order),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return out
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
