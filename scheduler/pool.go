package scheduler

import "math/bits"

// pool holds the workers of a rack or a zone by the value that an index gives
// them. Workers of value 0 are not listed.
type pool struct {
	byValue  [MaxWorkerAccelerators][]nodeID // byValue[i] lists the workers of value i+1
	nonEmpty uint64                          // bit i is set if byValue[i] is not empty
	sum      int
}

func (p *pool) add(pos []int32, n nodeID, v int) {
	if v == 0 {
		return
	}
	pos[n] = int32(len(p.byValue[v-1]))
	p.byValue[v-1] = append(p.byValue[v-1], n)
	p.nonEmpty |= 1 << (v - 1)
	p.sum += v
}

func (p *pool) remove(pos []int32, n nodeID, v int) {
	if v == 0 {
		return
	}
	list := p.byValue[v-1]
	last := len(list) - 1
	moved := list[last]
	list[pos[n]] = moved
	pos[moved] = pos[n]
	p.byValue[v-1] = list[:last]
	if last == 0 {
		p.nonEmpty &^= 1 << (v - 1)
	}
	p.sum -= v
}

// smallestAtLeast returns the smallest listed value that is at least v, or 0.
func (p *pool) smallestAtLeast(v int) int {
	if v > MaxWorkerAccelerators {
		return 0
	}
	m := p.nonEmpty >> (v - 1) << (v - 1)
	if m == 0 {
		return 0
	}
	return bits.TrailingZeros64(m) + 1
}

// largest returns the largest listed value, or 0.
func (p *pool) largest() int { return bits.Len64(p.nonEmpty) }

// take takes need accelerators from the largest workers down, and the remainder
// from the best fitting worker. It returns how many it took, and out with the
// allocations appended.
func (p *pool) take(need int, out []allocation) (int, []allocation) {
	taken := 0
	for v := p.largest(); v > 0 && taken < need; v-- {
		for _, n := range p.byValue[v-1] {
			rest := need - taken
			if rest == 0 {
				break
			}
			if fit := p.smallestAtLeast(rest); fit > 0 && fit < v {
				return need, append(out, allocation{node: p.byValue[fit-1][0], count: rest})
			}
			k := min(v, rest)
			out = append(out, allocation{node: n, count: k})
			taken += k
		}
	}
	return taken, out
}
