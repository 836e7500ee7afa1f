package scheduler

import (
	"cmp"
	"slices"
)

// stopBorrowing keeps a job that has just lost work to a claim off capacity
// that blocks may need, if it fits on idle workers together with all blocks.
// Otherwise a long job could borrow, be evicted and start over again and again.
func (s *Scheduler) stopBorrowing(j *job) {
	if j.Accelerators == 0 || j.Checkpointable || j.borrowingEnded || !s.hasGuarantees() {
		return
	}
	k := j.key()
	j.borrowingEnded = s.fitsMinShare(&k) && s.fitsWithAllBlocks(demand{j.Accelerators, j.Adjacency})
}

// resumeBorrowing lets jobs borrow again that no longer fit together with all
// blocks, because workers were lost or the policy guarantees more. They would
// otherwise wait forever while unused guaranteed capacity is idle.
func (s *Scheduler) resumeBorrowing() {
	if s.borrowingGen == s.shrinkGen {
		return
	}
	s.borrowingGen = s.shrinkGen
	var resumed []*job
	for _, j := range s.jobs {
		if j.borrowingEnded && j.queue != nil && !s.fitsWithAllBlocks(demand{j.Accelerators, j.Adjacency}) {
			resumed = append(resumed, j)
		}
	}
	slices.SortFunc(resumed, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	for _, j := range resumed {
		s.dequeue(j)
		j.borrowingEnded = false
		s.enqueue(j)
	}
}

func (s *Scheduler) hasGuarantees() bool {
	return slices.ContainsFunc(s.accountList, func(a *account) bool { return len(a.blocks) > 0 })
}

// fitsWithAllBlocks reports whether a shape fits on idle workers together with
// all guaranteed blocks.
func (s *Scheduler) fitsWithAllBlocks(d demand) bool {
	if gen := s.topologyGen + s.shrinkGen; s.fitsWithBlocksGen != gen {
		s.fitsWithBlocksGen = gen
		clear(s.fitsWithBlocks)
	}
	fits, ok := s.fitsWithBlocks[d]
	if !ok {
		fits = s.allBlocksFitWith(Shape{d.accelerators, d.span, 1})
		s.fitsWithBlocks[d] = fits
	}
	return fits
}

// allBlocksFitWith tries to bind all guaranteed blocks and one more shape on a
// scratch scheduler with the usable workers, all idle.
func (s *Scheduler) allBlocksFitWith(shape Shape) bool {
	p := s.policy
	p.Accounts = append(p.Accounts[:len(p.Accounts):len(p.Accounts)], AccountPolicy{ID: "beside", Guaranteed: []Shape{shape}})
	x := New(Options{})
	for _, n := range s.nodes {
		if n.usable() {
			x.workerUp(n.Worker)
		}
	}
	x.applyPolicy(p)
	x.rebindUnbound()
	return len(x.unbound) == 0
}
