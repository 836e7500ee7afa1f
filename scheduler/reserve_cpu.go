package scheduler

// reserveCPU sets a worker aside for a job without accelerators: the one with
// the most cores left among those that could ever hold it.
func (s *Scheduler) reserveCPU(j *job) {
	var best *node
	for _, n := range s.nodes {
		if !n.usable() || n.cpuFor != nil || n.cpuBudget(s.policy.CPUSharePercent) < j.Cores || n.memBudget(s.policy.CPUSharePercent) < j.MemoryMB {
			continue
		}
		if best == nil || n.cpuCores > best.cpuCores {
			best = n
		}
	}
	if best == nil {
		return
	}
	best.cpuFor = j
	j.cpuOn = best
	s.refreshCPU(best)
}

// dropCPU gives up the worker that is set aside for a job.
func (s *Scheduler) dropCPU(j *job) {
	if j.cpuOn == nil {
		return
	}
	n := j.cpuOn
	n.cpuFor, j.cpuOn = nil, nil
	s.refreshCPU(n)
}
