package scheduler

// nodeID indexes Scheduler.nodes. Nodes keep their index for good, so that a
// worker that returns finds its history.
type nodeID = int32

// node is the state of one worker. All counts are in accelerators unless said.
type node struct {
	Worker
	id       nodeID
	zone     int32
	rack     int32
	up       bool
	draining bool
	health   health

	usedMask          uint64 // bit per accelerator held by an attempt
	held              int    // accelerators held by attempts, stopping ones included
	protected         int    // held by, or claimed for, work that may not be evicted
	evictable         int    // held by evictable attempts that are not stopping
	bound             int    // bound to the unused part of guaranteed blocks
	claimed           int    // claimed for guarantees, not yet held
	reserved          int    // reserved for gangs that wait for work to end
	reservedProtected int    // the part of wait for work that may not be evicted
	stopping          int    // held by attempts that are stopping
	runs              []*run // attempts with a piece here
	blocks            []*block

	freeCPUCores   int // cores that jobs without accelerators may still use
	freeCPUMem     int // memory that jobs without accelerators may still use
	cpuReservedFor *job
}

// usable reports whether new work may be placed on the worker.
func (n *node) usable() bool {
	return n.up && !n.draining && !n.health.excluded
}

func (n *node) capacity() int {
	if !n.usable() {
		return 0
	}
	return min(n.Accelerators, MaxWorkerAccelerators)
}

// idle is the number of accelerators that no attempt holds.
func (n *node) idle() int { return max(0, n.capacity()-n.held) }

// free is what a claim for a guarantee could take at once.
func (n *node) free() int {
	if !n.usable() {
		return 0
	}
	return max(0, min(n.idle(), n.capacity()-n.held+n.stopping-n.claimed))
}

// open is what any job could take at once, without regard to guarantees.
func (n *node) open() int { return max(0, n.free()-n.reserved) }

// slack is what work that may not be evicted could take, if it were free.
func (n *node) slack() int { return max(0, n.capacity()-n.protected-n.bound) }

// bindable is the slack that blocks may be bound to: not what is reserved for
// work that may not be evicted, which would then wait for the block to move.
func (n *node) bindable() int { return max(0, n.slack()-n.reservedProtected) }

// slackWithoutUnused is the slack if the unused blocks here were bound elsewhere.
func (n *node) slackWithoutUnused() int {
	t := n.slack()
	for _, b := range n.blocks {
		if b.used == 0 {
			t += b.acceleratorsOn(n.id)
		}
	}
	return t
}

func (n *node) removeRun(r *run) {
	for i, x := range n.runs {
		if x == r {
			last := len(n.runs) - 1
			n.runs[i] = n.runs[last]
			n.runs[last] = nil
			n.runs = n.runs[:last]
			return
		}
	}
}

func (n *node) removeBlock(b *block) {
	for i, x := range n.blocks {
		if x == b {
			last := len(n.blocks) - 1
			n.blocks[i] = n.blocks[last]
			n.blocks[last] = nil
			n.blocks = n.blocks[:last]
			return
		}
	}
}
