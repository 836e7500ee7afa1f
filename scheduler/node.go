package scheduler

// nodeID is an index into Scheduler.nodes. A worker keeps its index while it is
// down, so that its history is found when it returns.
type nodeID = int32

// node is the state of one worker. Counts are in accelerators unless stated
// otherwise.
type node struct {
	Worker
	id       nodeID
	zone     int32
	rack     int32
	up       bool
	draining bool
	health   health

	usedMask          uint64 // bit per accelerator held by an attempt
	held              int    // held by attempts, including stopping ones
	protected         int    // held by or claimed for work that may not be evicted
	evictable         int    // held by evictable attempts that are not stopping
	bound             int    // bound to the unused portions of blocks
	claimed           int    // claimed on guarantees and not yet held
	reserved          int    // reserved for gangs that wait for work to end
	reservedProtected int    // portion of reserved for jobs that may not borrow
	stopping          int    // held by unprotected attempts that are stopping
	runs              []*run // attempts that hold accelerators or cores here
	blocks            []*block

	freeCPUCores   int  // cores left for jobs without accelerators
	freeCPUMem     int  // memory in MB left for jobs without accelerators
	cpuReservedFor *job // job without accelerators that the worker is reserved for
}

// usable reports whether new work may be placed on the worker.
func (n *node) usable() bool {
	return n.up && !n.draining && !n.health.excluded
}

// capacity returns the accelerators that new work could use if the worker were
// idle.
func (n *node) capacity() int {
	if !n.usable() {
		return 0
	}
	return min(n.Accelerators, MaxWorkerAccelerators)
}

// idle returns the accelerators that no attempt holds.
func (n *node) idle() int { return max(0, n.capacity()-n.held) }

// free returns the idle accelerators that no claim on a guarantee needs,
// counting on those being stopped to satisfy claims.
func (n *node) free() int {
	if !n.usable() {
		return 0
	}
	return max(0, min(n.idle(), n.capacity()-n.held+n.stopping-n.claimed))
}

// open returns the accelerators that any job could take at once, regardless of
// bound blocks.
func (n *node) open() int { return max(0, n.free()-n.reserved) }

// slack returns the accelerators that are neither protected nor bound to unused
// blocks, whether or not evictable work holds them.
func (n *node) slack() int { return max(0, n.capacity()-n.protected-n.bound) }

// bindable returns the slack to which blocks may be bound. It excludes what is
// reserved for jobs that may not borrow, which would have to wait for the block
// to move.
func (n *node) bindable() int { return max(0, n.slack()-n.reservedProtected) }

// slackWithoutUnused returns the slack if the blocks here that are not used at
// all were bound elsewhere.
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
