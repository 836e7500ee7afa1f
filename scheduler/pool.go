package scheduler

import "math/bits"

// pool holds the workers of a rack or a zone by the value an index gives them.
// Workers of value 0 are not listed.
type pool struct {
	lists [MaxWorkerAccelerators][]nodeID // workers of value i+1
	mask  uint64                          // bit i is set when lists[i] is not empty
	sum   int
}

func (p *pool) add(pos []int32, n nodeID, v int) {
	if v == 0 {
		return
	}
	pos[n] = int32(len(p.lists[v-1]))
	p.lists[v-1] = append(p.lists[v-1], n)
	p.mask |= 1 << (v - 1)
	p.sum += v
}

func (p *pool) remove(pos []int32, n nodeID, v int) {
	if v == 0 {
		return
	}
	list := p.lists[v-1]
	last := len(list) - 1
	moved := list[last]
	list[pos[n]] = moved
	pos[moved] = pos[n]
	p.lists[v-1] = list[:last]
	if last == 0 {
		p.mask &^= 1 << (v - 1)
	}
	p.sum -= v
}

// atLeast returns the smallest value that is listed and not below v, or 0.
func (p *pool) atLeast(v int) int {
	if v > MaxWorkerAccelerators {
		return 0
	}
	m := p.mask >> (v - 1) << (v - 1)
	if m == 0 {
		return 0
	}
	return bits.TrailingZeros64(m) + 1
}

// most returns the largest value that is listed, or 0.
func (p *pool) most() int { return bits.Len64(p.mask) }

// fill takes need accelerators from the pool, largest workers first, and the
// remainder from the tightest worker that holds it. It reports how many it took.
func (p *pool) fill(need int, out []piece) (int, []piece) {
	took := 0
	for v := p.most(); v > 0 && took < need; v-- {
		for _, n := range p.lists[v-1] {
			rest := need - took
			if rest == 0 {
				break
			}
			if fit := p.atLeast(rest); fit > 0 && fit < v {
				return need, append(out, piece{node: p.lists[fit-1][0], n: rest})
			}
			k := min(v, rest)
			out = append(out, piece{node: n, n: k})
			took += k
		}
	}
	return took, out
}
