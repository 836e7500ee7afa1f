package scheduler

import "github.com/bits-and-blooms/bitset"

// cpuIndex orders workers by the cores that are left for jobs without
// accelerators.
type cpuIndex struct {
	values    []int32
	positions []int32
	byCores   [][]nodeID
	nonEmpty  bitset.BitSet
}

func (x *cpuIndex) addNode() {
	x.values = append(x.values, 0)
	x.positions = append(x.positions, 0)
}

func (x *cpuIndex) update(n nodeID, v int32) {
	old := x.values[n]
	if old == v {
		return
	}
	if old > 0 {
		x.remove(n, old)
	}
	x.values[n] = v
	if v == 0 {
		return
	}
	for len(x.byCores) <= int(v) {
		x.byCores = append(x.byCores, nil)
	}
	x.positions[n] = int32(len(x.byCores[v]))
	x.byCores[v] = append(x.byCores[v], n)
	x.nonEmpty.Set(uint(v))
}

func (x *cpuIndex) remove(n nodeID, v int32) {
	list := x.byCores[v]
	last := len(list) - 1
	moved := list[last]
	list[x.positions[n]] = moved
	x.positions[moved] = x.positions[n]
	x.byCores[v] = list[:last]
	if last == 0 {
		x.nonEmpty.Clear(uint(v))
	}
}

// placeCPU returns the worker with the fewest sufficient cores left that also
// has the memory, or nil.
func (s *Scheduler) placeCPU(cores, mem int) *node {
	for v, ok := s.cpu.nonEmpty.NextSet(uint(max(1, cores))); ok; v, ok = s.cpu.nonEmpty.NextSet(v + 1) {
		for _, id := range s.cpu.byCores[v] {
			if s.nodes[id].freeCPUMem >= mem {
				return s.nodes[id]
			}
		}
	}
	return nil
}

// cpuBudget returns the cores that jobs without accelerators may use.
func (n *node) cpuBudget(percent int) int {
	if n.Accelerators <= 0 {
		return n.Cores
	}
	return n.Cores * percent / 100
}

// memBudget returns the memory in MB that jobs without accelerators may use.
func (n *node) memBudget(percent int) int {
	if n.Accelerators <= 0 {
		return n.MemoryMB
	}
	return n.MemoryMB * percent / 100
}

// recountCPU recomputes what is left for jobs without accelerators from the
// attempts on the node.
func (s *Scheduler) recountCPU(n *node) {
	n.freeCPUCores = n.cpuBudget(s.policy.CPUSharePercent)
	n.freeCPUMem = n.memBudget(s.policy.CPUSharePercent)
	for _, r := range n.runs {
		if r.job.Accelerators == 0 {
			n.freeCPUCores -= r.job.Cores
			n.freeCPUMem -= r.job.MemoryMB
		}
	}
}

// refreshCPU updates the index of cores from a node.
func (s *Scheduler) refreshCPU(n *node) {
	v := int32(0)
	if n.usable() && n.cpuReservedFor == nil {
		v = int32(max(0, n.freeCPUCores))
	}
	if v > s.cpu.values[n.id] {
		s.cpuCapacityGen++
	}
	s.cpu.update(n.id, v)
}

// lowerMinShare updates the smallest cores and memory that come with one
// accelerator on any worker. Jobs that need no more are placed through the
// indexes alone.
func (s *Scheduler) lowerMinShare(n *node) {
	if n.Accelerators <= 0 {
		return
	}
	c, m := n.acceleratorShare(s.policy.CPUSharePercent)
	if s.minCoresPerAccelerator == 0 || c < s.minCoresPerAccelerator {
		s.minCoresPerAccelerator = c
	}
	if s.minMemPerAccelerator == 0 || m < s.minMemPerAccelerator {
		s.minMemPerAccelerator = m
	}
}

// acceleratorShare returns the cores and memory that come with one accelerator.
func (n *node) acceleratorShare(cpuPercent int) (cores, mem int) {
	a := max(1, n.Accelerators)
	return (n.Cores - n.cpuBudget(cpuPercent)) / a, (n.MemoryMB - n.memBudget(cpuPercent)) / a
}

// footprint returns how many accelerators of a node one accelerator of a job
// takes up: 1 unless the job needs more cores or memory than come with one. It
// returns 0 if the node can't hold the job at all.
func (s *Scheduler) footprint(k *queueKey, n *node) int {
	if k.cores <= s.minCoresPerAccelerator && k.memory <= s.minMemPerAccelerator {
		return 1
	}
	c, m := n.acceleratorShare(s.policy.CPUSharePercent)
	u := max(1, ceilDiv(k.cores, c), ceilDiv(k.memory, m))
	if u > n.Accelerators {
		return 0
	}
	return u
}

// fitsMinShare reports whether the footprint of the job is 1 on every worker.
func (s *Scheduler) fitsMinShare(k *queueKey) bool {
	return k.cores <= s.minCoresPerAccelerator && k.memory <= s.minMemPerAccelerator
}

// ceilDiv returns a/b rounded up. If b is 0 it returns more than any worker
// has.
func ceilDiv(a, b int) int {
	if a <= 0 {
		return 0
	}
	if b <= 0 {
		return MaxWorkerAccelerators + 1
	}
	return (a + b - 1) / b
}
