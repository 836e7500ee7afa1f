package scheduler

import "github.com/bits-and-blooms/bitset"

// cpuIndex orders workers by the cores that jobs without accelerators may use.
type cpuIndex struct {
	val   []int32
	pos   []int32
	lists [][]nodeID
	set   bitset.BitSet
}

func (x *cpuIndex) addNode() {
	x.val = append(x.val, 0)
	x.pos = append(x.pos, 0)
}

func (x *cpuIndex) put(n nodeID, v int32) {
	old := x.val[n]
	if old == v {
		return
	}
	if old > 0 {
		x.remove(n, old)
	}
	x.val[n] = v
	if v == 0 {
		return
	}
	for len(x.lists) <= int(v) {
		x.lists = append(x.lists, nil)
	}
	x.pos[n] = int32(len(x.lists[v]))
	x.lists[v] = append(x.lists[v], n)
	x.set.Set(uint(v))
}

func (x *cpuIndex) remove(n nodeID, v int32) {
	list := x.lists[v]
	last := len(list) - 1
	moved := list[last]
	list[x.pos[n]] = moved
	x.pos[moved] = x.pos[n]
	x.lists[v] = list[:last]
	if last == 0 {
		x.set.Clear(uint(v))
	}
}

// placeCPU returns the tightest worker by cores that also has the memory, or
// nil.
func (s *Scheduler) placeCPU(cores, mem int) *node {
	for v, ok := s.cpu.set.NextSet(uint(max(1, cores))); ok; v, ok = s.cpu.set.NextSet(v + 1) {
		for _, id := range s.cpu.lists[v] {
			if s.nodes[id].cpuMem >= mem {
				return s.nodes[id]
			}
		}
	}
	return nil
}

// cpuBudget is the cores that jobs without accelerators may use.
func (n *node) cpuBudget(percent int) int {
	if n.Accelerators <= 0 {
		return n.Cores
	}
	return n.Cores * percent / 100
}

func (n *node) memBudget(percent int) int {
	if n.Accelerators <= 0 {
		return n.MemoryMB
	}
	return n.MemoryMB * percent / 100
}

// recountCPU derives what is left for jobs without accelerators from the
// attempts on the node.
func (s *Scheduler) recountCPU(n *node) {
	n.cpuCores = n.cpuBudget(s.policy.CPUSharePercent)
	n.cpuMem = n.memBudget(s.policy.CPUSharePercent)
	for _, r := range n.runs {
		if r.job.Accelerators == 0 {
			n.cpuCores -= r.job.Cores
			n.cpuMem -= r.job.MemoryMB
		}
	}
}

func (s *Scheduler) refreshCPU(n *node) {
	v := int32(0)
	if n.usable() && n.cpuFor == nil {
		v = int32(max(0, n.cpuCores))
	}
	if v > s.cpu.val[n.id] {
		s.grownCPU++
	}
	s.cpu.put(n.id, v)
}

// leastShare keeps the least cores and memory that come with one accelerator
// anywhere. Jobs that need no more take the fast way through the indexes.
func (s *Scheduler) leastShare(n *node) {
	if n.Accelerators <= 0 {
		return
	}
	c, m := n.acceleratorShare(s.policy.CPUSharePercent)
	if s.minCores == 0 || c < s.minCores {
		s.minCores = c
	}
	if s.minMem == 0 || m < s.minMem {
		s.minMem = m
	}
}

// acceleratorShare is the cores and memory that come with one accelerator.
func (n *node) acceleratorShare(cpuPercent int) (cores, mem int) {
	a := max(1, n.Accelerators)
	return (n.Cores - n.cpuBudget(cpuPercent)) / a, (n.MemoryMB - n.memBudget(cpuPercent)) / a
}

// units is how many accelerators of a node one accelerator of a job takes up: 1
// unless the job needs more than the share of cores or memory of one. It is 0
// if the node can't hold the job at all.
func (s *Scheduler) units(k *queueKey, n *node) int {
	if k.cores <= s.minCores && k.memory <= s.minMem {
		return 1
	}
	c, m := n.acceleratorShare(s.policy.CPUSharePercent)
	u := max(1, ceilDiv(k.cores, c), ceilDiv(k.memory, m))
	if u > n.Accelerators {
		return 0
	}
	return u
}

// plain reports whether the job takes one unit per accelerator everywhere.
func (s *Scheduler) plain(k *queueKey) bool {
	return k.cores <= s.minCores && k.memory <= s.minMem
}

func ceilDiv(a, b int) int {
	if a <= 0 {
		return 0
	}
	if b <= 0 {
		return MaxWorkerAccelerators + 1
	}
	return (a + b - 1) / b
}
