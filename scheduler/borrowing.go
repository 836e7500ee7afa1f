package scheduler

import (
	"cmp"
	"slices"
)

// stopBorrowing has a job that has just lost work to a claim run only where no block
// needs the place from now on, if such a place exists once other work has ended.
//
// The failure this guards against: a large gang borrows, runs for half an hour,
// is evicted by the claim of a small job, starts again, and so on. It shows as
// work lost over and over by the same job while all others wait behind it. A job
// that may not borrow is never evicted, so each loses work to claims once.
func (s *Scheduler) stopBorrowing(j *job) {
	if j.Accelerators == 0 || j.Checkpointable || j.borrowingEnded || !s.guarantees() {
		return
	}
	k := j.key()
	j.borrowingEnded = s.plain(&k) && s.fitsBesideBlocks(need{j.Accelerators, j.Adjacency})
}

// resumeBorrowing lets jobs borrow again that no longer fit beside all blocks, since
// workers are gone or a policy guarantees more. They would wait for ever although
// the capacity of a guarantee that nobody uses is idle.
func (s *Scheduler) resumeBorrowing() {
	if s.borrowingAt == s.shrunk {
		return
	}
	s.borrowingAt = s.shrunk
	var back []*job
	for _, j := range s.jobs {
		if j.borrowingEnded && j.queue != nil && !s.fitsBesideBlocks(need{j.Accelerators, j.Adjacency}) {
			back = append(back, j)
		}
	}
	slices.SortFunc(back, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	for _, j := range back {
		s.dequeue(j)
		j.borrowingEnded = false
		s.enqueue(j)
	}
}

func (s *Scheduler) guarantees() bool {
	return slices.ContainsFunc(s.accountList, func(a *account) bool { return len(a.blocks) > 0 })
}

// fitsBesideBlocks reports whether a shape fits on idle workers together with
// all guaranteed ones.
func (s *Scheduler) fitsBesideBlocks(w need) bool {
	if at := s.shape + s.shrunk; s.besideAt != at {
		s.besideAt = at
		clear(s.beside)
	}
	fits, ok := s.beside[w]
	if !ok {
		fits = s.packsWith(Shape{w.accelerators, w.span, 1})
		s.beside[w] = fits
	}
	return fits
}

func (s *Scheduler) packsWith(shape Shape) bool {
	p := s.policy
	p.Accounts = append(p.Accounts[:len(p.Accounts):len(p.Accounts)], AccountPolicy{ID: "beside", Guaranteed: []Shape{shape}})
	x := New(Options{})
	for _, n := range s.nodes {
		if n.usable() {
			x.workerUp(n.Worker)
		}
	}
	x.policyChanged(p)
	x.rebindUnbound()
	return len(x.unbound) == 0
}
