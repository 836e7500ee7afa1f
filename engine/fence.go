package engine

import "cmp"

// Fence orders all that is ordered of one worker: the worker refuses whatever carries a lower
// fence than it has seen. Epoch is the planner's. Turn rises within an epoch whenever another
// life answers under the worker's name: that life has seen no fence, and calls that were meant
// for an earlier one, and were held up, carry the same name.
type Fence struct {
	Epoch      uint64
	Generation uint64
}

// GenerationStep is by how much the turn is raised for another life. Agents count in between, each
// time that their worker does not answer, so that whichever life answers next is fenced before
// a planner has heard of it.
const GenerationStep = 1 << 8

// Compare returns -1, 0 or 1 as f is lower than o, the same or higher.
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
