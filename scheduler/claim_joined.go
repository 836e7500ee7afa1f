package scheduler

import "slices"

// joinedLoss is what a claim on blocks next to each other may evict per
// accelerator, in accelerator seconds: their account is promised each of them at
// once, not that they adjoin.
const joinedLoss = 20.0

// claimJoined claims several unused blocks of an account for a job that is
// larger than each of them, and binds them next to each other within the span of
// the job. It returns nil, with nothing changed, if they find no such place.
func (s *Scheduler) claimJoined(j *job, k *queueKey) *claim {
	blocks := j.account.joinable(k.accelerators)
	if blocks == nil || !s.plain(k) {
		return nil
	}
	before, gen := s.grown, j.account.gen
	var best [][]piece
	for _, b := range blocks {
		best = append(best, b.pieces())
	}
	for _, b := range blocks {
		s.detach(b)
	}
	at := s.placeJoined(blocks, k)
	if at != nil {
		best = at
	}
	for i, b := range blocks {
		s.attach(b, best[i])
	}
	s.grown, j.account.gen = before, gen
	if at == nil {
		return nil
	}
	return s.claimOf(j, sharesOf(blocks, k.accelerators))
}

// joinable returns unused blocks, largest first, that hold a job together which
// none of the account's blocks holds alone.
func (a *account) joinable(need int) []*block {
	var out []*block
	for _, b := range a.blocks {
		if b.shape.Accelerators >= need {
			return nil
		}
		if b.bound() && b.used == 0 {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(x, y *block) int { return y.shape.Accelerators - x.shape.Accelerators })
	for i, b := range out {
		if need -= b.shape.Accelerators; need <= 0 {
			return out[:i+1]
		}
	}
	return nil
}

// placeJoined returns the places for blocks within one span where a job evicts
// least.
func (s *Scheduler) placeJoined(blocks []*block, k *queueKey) [][]piece {
	sum := 0
	for _, b := range blocks {
		sum += b.shape.Accelerators
	}
	var best [][]piece
	var cost float64
	for _, at := range s.slack.each(sum, k.span, maxPlaces) {
		c := s.placeCost(at, k.accelerators)
		if _, lost := s.victims(at); lost > joinedLoss*float64(k.accelerators) {
			continue
		}
		if best != nil && c >= cost {
			continue
		}
		if parts := s.split(at, blocks); parts != nil {
			best, cost = parts, c
		}
	}
	return best
}

// split divides a place between blocks so that each keeps to its own span. It
// returns nil if the tightest first order fails.
func (s *Scheduler) split(at []piece, blocks []*block) [][]piece {
	at = slices.Clone(at)
	order := slices.Clone(blocks)
	slices.SortStableFunc(order, tightestFirst)
	out := make([][]piece, len(blocks))
	for _, b := range order {
		got := s.cut(at, b.shape)
		if got == nil {
			return nil
		}
		out[slices.Index(blocks, b)] = got
	}
	return out
}

// cut takes a shape out of a place, from the tightest unit that holds it.
func (s *Scheduler) cut(at []piece, shape Shape) []piece {
	sums := map[int32]int{}
	for _, p := range at {
		sums[spanOf(s.nodes[p.node], shape.Adjacency)] += p.n
	}
	unit := int32(-1)
	for _, p := range at {
		u := spanOf(s.nodes[p.node], shape.Adjacency)
		if sums[u] >= shape.Accelerators && (unit < 0 || sums[u] < sums[unit]) {
			unit = u
		}
	}
	if unit < 0 {
		return nil
	}
	var out []piece
	need := shape.Accelerators
	for i, p := range at {
		n := min(need, p.n)
		if n == 0 || spanOf(s.nodes[p.node], shape.Adjacency) != unit {
			continue
		}
		out = append(out, piece{node: p.node, n: n})
		at[i].n -= n
		need -= n
	}
	return out
}

func sharesOf(blocks []*block, need int) []share {
	var out []share
	for _, b := range blocks {
		for i, p := range b.parts {
			if n := min(need, p.n); n > 0 {
				out = append(out, share{b, i, n})
				need -= n
			}
		}
	}
	return out
}
