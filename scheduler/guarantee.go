package scheduler

const (
	// urgentWeight is by how much sooner urgent jobs may claim.
	urgentWeight = 10
)

// shapeMatch selects which jobs may claim blocks. Jobs that are as large as a
// block use it before they look for open capacity; smaller ones only when they
// found none, so that they don't break up blocks without need.
type shapeMatch uint8

const (
	exactShapes shapeMatch = iota
	anyShape
)

func (s *Scheduler) claimGuarantees(m shapeMatch) {
	for _, a := range s.accountList {
		if len(a.blocks) == 0 || a.waiting == 0 {
			continue
		}
		for q := s.nextClaimant(a, m); q != nil; q = s.nextClaimant(a, m) {
			if !s.claimBlocks(q, m) {
				q.claimed = s.claimStamp(a, m)
			}
		}
	}
}

// claimStamp says at which state of an account's blocks a queue was tried.
func (s *Scheduler) claimStamp(a *account, m shapeMatch) uint64 {
	return (a.gen+1)*2 + uint64(m)
}

// nextClaimant returns the queue whose head goes first among those of an
// account that may still find room in its blocks.
func (s *Scheduler) nextClaimant(a *account, m shapeMatch) *queue {
	var best *queue
	for _, q := range a.order {
		j := s.claimHead(q)
		if j == nil || q.key.accelerators == 0 || q.claimed >= s.claimStamp(a, m) || m == anyShape && s.inGrace(q) {
			continue
		}
		if best == nil || s.before(j, s.claimHead(best)) {
			best = q
		}
	}
	return best
}

// claimHead is the first job of a queue that holds no claim on a guarantee yet.
func (s *Scheduler) claimHead(q *queue) *job {
	j := q.head
	for j != nil && j.claim != nil && j.claim.guaranteed() {
		j = j.next
	}
	return j
}

// claimBlocks sets room in the blocks of an account aside for the first job of
// a queue, and starts it if that room is idle.
func (s *Scheduler) claimBlocks(q *queue, m shapeMatch) bool {
	j := s.claimHead(q)
	if j == nil {
		return false
	}
	if m == anyShape && !s.mayClaim(j) {
		q.graceIn = s.steps
		return true
	}
	c := s.findClaim(j, &q.key, m)
	if c == nil {
		return false
	}
	if j.claim != nil {
		s.dropClaim(j.claim)
	}
	s.addClaim(c)
	if s.complete(c) {
		s.startClaim(c)
		return true
	}
	s.evictFor(c)
	return true
}

// inGrace reports whether the head of a queue has just been found to wait for
// its turn to claim. It is looked at once per step.
func (s *Scheduler) inGrace(q *queue) bool { return q.graceIn == s.steps }

// mayClaim reports whether a job may use a guaranteed block that is larger than
// the job. It first waits for open capacity: a small job in a block pins the
// block where it is, and the gangs that need that place whole wait for it.
func (s *Scheduler) mayClaim(j *job) bool {
	wait := s.policy.ReclaimAfter
	if j.Urgent {
		wait /= urgentWeight
	}
	j.queue.grace = j.Submitted.Add(wait)
	return !s.now.Before(j.queue.grace)
}

// findClaim returns the claim that evicts least.
func (s *Scheduler) findClaim(j *job, k *queueKey, m shapeMatch) *claim {
	var best *block
	for _, b := range j.account.blocks {
		if !s.serves(b, k, m) {
			continue
		}
		if best == nil || b.room() < best.room() {
			best = b
		}
	}
	if best != nil {
		return s.claimOne(j, k, best)
	}
	if m == anyShape && k.span == AdjacentAny {
		return s.claimMany(j, k)
	}
	return nil
}

// serves reports whether a job fits into what is left of a block.
func (s *Scheduler) serves(b *block, k *queueKey, m shapeMatch) bool {
	if b.room() < k.accelerators {
		return false
	}
	if m == exactShapes && (b.shape.Accelerators != k.accelerators || k.span != b.shape.Adjacency) {
		return false
	}
	return s.partsFor(b, k) != nil
}

// partsFor returns a part of the room of a block that the job may use, in
// accelerators of its nodes.
func (s *Scheduler) partsFor(b *block, k *queueKey) []share {
	need := k.accelerators
	var out []share
	for i, p := range b.parts {
		u := s.units(k, s.nodes[p.node])
		if u == 0 || p.used == p.n {
			continue
		}
		got := min(need, (p.n-p.used)/u)
		if k.span == AdjacentWorker && got < k.accelerators || got == 0 {
			continue
		}
		out = append(out, share{b, i, got * u})
		if need -= got; need == 0 {
			break
		}
	}
	if need > 0 || k.span > b.shape.Adjacency && !s.within(out, k.span) {
		return nil
	}
	return out
}

// within reports whether all shares lie within one span.
func (s *Scheduler) within(shares []share, span Adjacency) bool {
	for _, x := range shares[1:] {
		first := shares[0].block.parts[shares[0].part].node
		if spanOf(s.nodes[first], span) != spanOf(s.nodes[x.block.parts[x.part].node], span) {
			return false
		}
	}
	return true
}

// claimOne claims room in one block. An unused block first moves to the place
// where the claim evicts least.
func (s *Scheduler) claimOne(j *job, k *queueKey, b *block) *claim {
	if b.used == 0 && s.plain(k) {
		s.moveBlock(b, k)
	}
	return s.claimOf(j, s.partsFor(b, k))
}

// claimMany claims the room of several blocks for a gang that may be spread.
func (s *Scheduler) claimMany(j *job, k *queueKey) *claim {
	if !s.plain(k) {
		return nil
	}
	need := k.accelerators
	var out []share
	for _, b := range j.account.blocks {
		for i, p := range b.parts {
			got := min(need, p.n-p.used)
			if got == 0 {
				continue
			}
			out = append(out, share{b, i, got})
			if need -= got; need == 0 {
				return s.claimOf(j, out)
			}
		}
	}
	return nil
}

func (s *Scheduler) claimOf(j *job, shares []share) *claim {
	if shares == nil {
		return nil
	}
	return &claim{job: j, shares: shares, pieces: piecesOf(shares)}
}

// piecesOf merges shares by node.
func piecesOf(shares []share) []piece {
	var out []piece
	at := map[nodeID]int{}
	for _, x := range shares {
		id := x.block.parts[x.part].node
		i, ok := at[id]
		if !ok {
			i = len(out)
			at[id] = i
			out = append(out, piece{node: id})
		}
		out[i].n += x.n
	}
	return out
}
