package engine

import "cmp"

// Fence orders all calls to one worker: the worker refuses calls with a lower fence than the
// highest it has seen. Epoch is the planner's. Generation increases within an epoch whenever
// another incarnation answers under the worker's name: a new incarnation has seen no fence, and
// delayed calls to an earlier one carry the same name.
type Fence struct {
	Epoch      uint64
	Generation uint64
}

// GenerationStep is how much a planner raises the generation for a new incarnation. Agents raise
// it by smaller amounts each time their worker does not answer, so that the next incarnation is
// fenced before a planner knows of it.
const GenerationStep = 1 << 8

// Compare returns -1, 0 or 1 if f is lower than, equal to or higher than o.
func (f Fence) Compare(o Fence) int {
	return cmp.Or(cmp.Compare(f.Epoch, o.Epoch), cmp.Compare(f.Generation, o.Generation))
}

// Max returns the higher of two fences.
func (f Fence) Max(o Fence) Fence {
	if f.Compare(o) < 0 {
		return o
	}
	return f
}
