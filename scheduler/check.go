package scheduler

import (
	"errors"
	"fmt"
	"math/bits"
)

// ErrInvariant is wrapped by every error of [Scheduler.Check].
var ErrInvariant = errors.New("scheduler invariant broken")

// Check recounts the whole state from attempts, claims and blocks and compares
// it with the maintained counts. It also verifies that no accelerator is held
// twice, that no gang is held in part, that every job is in exactly one place,
// and that all bound unused blocks fit at once into capacity that is free or
// held by evictable work. Its cost is linear in workers and jobs.
func (s *Scheduler) Check() error {
	for _, f := range []func() error{s.checkJobs, s.checkNodes, s.checkBlocks, s.checkQueues} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func invariantError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvariant, fmt.Sprintf(format, args...))
}

func (s *Scheduler) checkJobs() error {
	for id, j := range s.jobs {
		places := 0
		for _, present := range []bool{j.queue != nil, j.run != nil, j.delayIndex >= 0} {
			if present {
				places++
			}
		}
		if places != 1 {
			return invariantError("job %q is in %d of queue, attempt and delay heap, want exactly 1", id, places)
		}
		if j.claim != nil && j.queue == nil {
			return invariantError("job %q holds a claim but is not queued", id)
		}
		if err := s.checkRun(j.run); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scheduler) checkRun(r *run) error {
	if r == nil || r.stopReason == StopConflict {
		return nil
	}
	granted, shared := 0, 0
	for _, h := range r.held {
		granted += h.granted
		if bits.OnesCount64(h.mask) != h.count {
			return invariantError("job %q has %d accelerators in its mask on one worker, counted %d", r.job.ID, bits.OnesCount64(h.mask), h.count)
		}
	}
	for _, use := range r.blockUses {
		shared += use.count
	}
	if granted != r.job.Accelerators {
		return invariantError("job %q requested %d accelerators and was granted %d", r.job.ID, r.job.Accelerators, granted)
	}
	if shared != 0 && shared != r.size() {
		return invariantError("job %q uses %d accelerators of blocks but holds %d", r.job.ID, shared, r.size())
	}
	return s.checkSpan(r)
}

func (s *Scheduler) checkSpan(r *run) error {
	for _, h := range r.held {
		a, b := s.nodes[r.held[0].node], s.nodes[h.node]
		if a.up && b.up && unitOf(a, r.job.Adjacency) != unitOf(b, r.job.Adjacency) {
			return invariantError("job %q is not within one %s", r.job.ID, r.job.Adjacency)
		}
	}
	return nil
}

// nodeCounts holds the counts of a node that checkNodes recounts.
type nodeCounts struct{ held, protected, evictable, stopping, bound, claimed, reserved int }

func (s *Scheduler) checkNodes() error {
	want := make([]nodeCounts, len(s.nodes))
	used := make([]uint64, len(s.nodes))
	for _, j := range s.jobs {
		if j.run == nil {
			continue
		}
		for _, h := range j.run.held {
			if used[h.node]&h.mask != 0 {
				return invariantError("an accelerator of worker %q is held by two attempts", s.nodes[h.node].ID)
			}
			used[h.node] |= h.mask
			j.run.recount(&want[h.node], h.count)
		}
	}
	s.recountClaims(want)
	for i, n := range s.nodes {
		got := nodeCounts{n.held, n.protected, n.evictable, n.stopping, n.bound, n.claimed, n.reserved}
		if got != want[i] || n.usedMask != used[i] {
			return invariantError("counts of worker %q are %+v, recounted %+v", n.ID, got, want[i])
		}
		if n.bound > 0 && n.protected+n.bound > n.capacity() {
			return invariantError("worker %q has %d accelerators but %d protected and %d bound ones", n.ID, n.capacity(), n.protected, n.bound)
		}
		if int(s.open.values[i]) != n.open() || int(s.bindable.values[i]) != n.bindable() {
			return invariantError("index values of worker %q differ from its counts", n.ID)
		}
	}
	return nil
}

func (r *run) recount(c *nodeCounts, n int) {
	c.held += n
	switch {
	case len(r.blockUses) > 0:
	case r.protected:
		c.protected += n
	case r.state == runStopping:
		c.stopping += n
	default:
		c.evictable += n
	}
}

func (s *Scheduler) recountClaims(want []nodeCounts) {
	for _, a := range s.accountList {
		for _, b := range a.blocks {
			for _, p := range b.parts {
				want[p.node].bound += p.count - p.used
				want[p.node].protected += p.used
			}
		}
	}
	for _, c := range s.claims {
		for _, p := range c.allocations {
			if c.guaranteed() {
				want[p.node].claimed += p.count
			} else {
				want[p.node].reserved += p.count
			}
		}
	}
}

func (s *Scheduler) checkBlocks() error {
	unbound := 0
	for _, a := range s.accountList {
		for _, b := range a.blocks {
			if !b.bound() {
				unbound++
				continue
			}
			if err := s.checkBlock(b); err != nil {
				return err
			}
		}
	}
	if unbound != len(s.unbound) {
		return invariantError("%d blocks are unbound, but %d are listed as unbound", unbound, len(s.unbound))
	}
	return nil
}

func (s *Scheduler) checkBlock(b *block) error {
	sum, used := 0, 0
	for _, p := range b.parts {
		sum += p.count
		used += p.used
		if p.used < 0 || p.used > p.count {
			return invariantError("part of a block of account %q has %d accelerators in use of %d", b.account.policy.ID, p.used, p.count)
		}
		n := s.nodes[p.node]
		if !n.usable() || unitOf(n, b.shape.Adjacency) != unitOf(s.nodes[b.parts[0].node], b.shape.Adjacency) {
			return invariantError("block of account %q is bound to worker %q, which is unusable or outside its span", b.account.policy.ID, n.ID)
		}
	}
	if sum != b.shape.Accelerators || used != b.used {
		return invariantError("block of account %q has %d accelerators, but its parts have %d or their use is miscounted", b.account.policy.ID, b.shape.Accelerators, sum)
	}
	return nil
}

func (s *Scheduler) checkQueues() error {
	for _, a := range s.accountList {
		waiting := 0
		for _, q := range a.queueList {
			n := 0
			for j := q.head; j != nil; j = j.next {
				if j.queue != q || j.next != nil && j.next.seq < j.seq {
					return invariantError("queue of job %q is out of order or mislinked", j.ID)
				}
				n++
			}
			if n != q.length {
				return invariantError("queue of account %q counts %d jobs, recounted %d", a.policy.ID, q.length, n)
			}
			waiting += n
		}
		if waiting != a.waiting {
			return invariantError("account %q counts %d waiting jobs, recounted %d", a.policy.ID, a.waiting, waiting)
		}
	}
	return nil
}
