package scheduler

// claimPhase is the part of a decision in which an account claims its blocks.
// Jobs that have exactly the shape of a block claim it before open capacity is
// given out, unless an urgent job of the account needs the block. Other jobs
// try open capacity first, so that they don't pin a block without need.
type claimPhase uint8

const (
	beforeOpen claimPhase = iota
	afterOpen
)

func (s *Scheduler) claimGuarantees(p claimPhase) {
	for _, a := range s.accountList {
		if len(a.blocks) == 0 || a.waiting == 0 {
			continue
		}
		for q := s.nextClaimant(a, p); q != nil; q = s.nextClaimant(a, p) {
			s.claimBlocks(q, p)
		}
	}
}

// claimStamp identifies the state of an account's blocks, and a phase. A queue
// whose first job fits into no block is not tried again up to the same stamp.
// It is never 0.
func (s *Scheduler) claimStamp(a *account, p claimPhase) uint64 {
	return (a.blockGen+1)*2 + uint64(p)
}

// phaseStamp numbers the claim phases of all steps.
func (s *Scheduler) phaseStamp(p claimPhase) uint64 { return s.steps*2 + uint64(p) }

// nextClaimant returns the queue whose first job precedes the others among
// those that may still fit into the blocks of an account, or nil.
func (s *Scheduler) nextClaimant(a *account, p claimPhase) *queue {
	var best *queue
	for _, q := range a.queueList {
		j := s.firstUnclaimed(q)
		if j == nil || q.key.accelerators == 0 || q.noClaimStamp >= s.claimStamp(a, p) || q.yieldedPhase == s.phaseStamp(p) {
			continue
		}
		if best == nil || s.claimsBefore(j, s.firstUnclaimed(best)) {
			best = q
		}
	}
	return best
}

// firstUnclaimed returns the first job of a queue that holds no claim on a
// guarantee, or nil.
func (s *Scheduler) firstUnclaimed(q *queue) *job {
	j := q.head
	for j != nil && j.claim != nil && j.claim.guaranteed() {
		j = j.next
	}
	return j
}

// claimBlocks claims blocks of an account for the first job of a queue.
func (s *Scheduler) claimBlocks(q *queue, p claimPhase) {
	j := s.firstUnclaimed(q)
	c, yields := s.findClaim(j, &q.key, p)
	switch {
	case c != nil:
		s.applyClaim(c)
	case yields:
		q.yieldedPhase = s.phaseStamp(p)
		q.yieldUntil = j.Submitted.Add(s.policy.ReclaimAfter)
	default:
		q.noClaimStamp = s.claimStamp(q.account, p)
	}
}

// applyClaim replaces any claim of the job by c, and starts the job if the
// capacity is idle. Otherwise it sends the evictions of c.
func (s *Scheduler) applyClaim(c *claim) {
	if c.job.claim != nil {
		s.dropClaim(c.job.claim)
	}
	s.addClaim(c)
	if s.claimReady(c) {
		s.startClaim(c)
		return
	}
	s.evictFor(c)
}

// findClaim returns a claim on the block that suits a job best. If it returns
// nil, yields reports whether the job only leaves a block to other jobs of its
// account for now.
func (s *Scheduler) findClaim(j *job, k *queueKey, p claimPhase) (c *claim, yields bool) {
	var best *block
	var bestCost blockCost
	for _, b := range j.account.blocks {
		if !s.fitsBlock(b, k, p) {
			continue
		}
		if s.yieldsBlock(j, k, b) || p == beforeOpen && s.urgentJobWaits(j, b) {
			yields = true
			continue
		}
		cost := s.blockCostOf(b, k)
		if best == nil || cost.less(bestCost) {
			best, bestCost = b, cost
		}
	}
	if best != nil {
		return s.claimBlock(j, k, best), false
	}
	if p == afterOpen && k.span == AdjacentAny {
		return s.claimSeveralBlocks(j, k), yields
	}
	if p == afterOpen && k.span != AdjacentWorker {
		return s.claimAdjacentBlocks(j, k), yields
	}
	return nil, yields
}

// fitsBlock reports whether a job fits into the unused part of a block and may
// use the block in a phase.
func (s *Scheduler) fitsBlock(b *block, k *queueKey, p claimPhase) bool {
	if b.unused() < k.accelerators {
		return false
	}
	exact := b.shape.Accelerators == k.accelerators && b.shape.Adjacency == k.span
	if p == beforeOpen && !exact {
		return false
	}
	return s.blockUsesFor(b, k) != nil
}

// blockUsesFor returns the unused accelerators of a block that the job would
// take, scaled by its footprint on each node. It returns nil if the job does
// not fit.
func (s *Scheduler) blockUsesFor(b *block, k *queueKey) []blockUse {
	need := k.accelerators
	var out []blockUse
	for _, i := range s.orderParts(b, k) {
		p := b.parts[i]
		u := s.footprint(k, s.nodes[p.node])
		if u == 0 || p.used == p.count {
			continue
		}
		got := min(need, (p.count-p.used)/u)
		if k.span == AdjacentWorker && got < k.accelerators || got == 0 {
			continue
		}
		out = append(out, blockUse{b, i, got * u})
		if need -= got; need == 0 {
			break
		}
	}
	if need > 0 || k.span > b.shape.Adjacency && !s.inOneUnit(out, k.span) {
		return nil
	}
	return out
}

// inOneUnit reports whether all uses lie within one unit of a span.
func (s *Scheduler) inOneUnit(uses []blockUse, span Adjacency) bool {
	for _, use := range uses[1:] {
		first := uses[0].block.parts[uses[0].part].node
		if unitOf(s.nodes[first], span) != unitOf(s.nodes[use.block.parts[use.part].node], span) {
			return false
		}
	}
	return true
}

// claimBlock claims unused capacity of one block. An unused block is first
// moved to the place where the claim evicts least.
func (s *Scheduler) claimBlock(j *job, k *queueKey, b *block) *claim {
	if b.used == 0 && s.fitsMinShare(k) {
		s.moveToCheapestPlace(b, k)
	}
	return s.newClaim(j, s.blockUsesFor(b, k))
}

// claimSeveralBlocks claims unused capacity of several blocks for a gang that
// may be spread over the domain.
func (s *Scheduler) claimSeveralBlocks(j *job, k *queueKey) *claim {
	if !s.fitsMinShare(k) {
		return nil
	}
	need := k.accelerators
	var out []blockUse
	for _, b := range j.account.blocks {
		if s.yieldsBlock(j, k, b) {
			continue
		}
		for i, p := range b.parts {
			got := min(need, p.count-p.used)
			if got == 0 {
				continue
			}
			out = append(out, blockUse{b, i, got})
			if need -= got; need == 0 {
				return s.newClaim(j, out)
			}
		}
	}
	return nil
}

// newClaim returns a claim on uses, or nil if uses is nil.
func (s *Scheduler) newClaim(j *job, uses []blockUse) *claim {
	if uses == nil {
		return nil
	}
	return &claim{job: j, blockUses: uses, allocations: allocationsOf(uses)}
}

// allocationsOf sums uses by node.
func allocationsOf(uses []blockUse) []allocation {
	var out []allocation
	position := map[nodeID]int{}
	for _, use := range uses {
		id := use.block.parts[use.part].node
		i, ok := position[id]
		if !ok {
			i = len(out)
			position[id] = i
			out = append(out, allocation{node: id})
		}
		out[i].count += use.count
	}
	return out
}
