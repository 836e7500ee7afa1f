package scheduler

// reserveCPU reserves a worker for a job without accelerators: of the workers
// that could ever hold the job, the one with the most cores left.
func (s *Scheduler) reserveCPU(j *job) {
	var best *node
	for _, n := range s.nodes {
		if !n.usable() || n.cpuReservedFor != nil || n.cpuBudget(s.policy.CPUSharePercent) < j.Cores || n.memBudget(s.policy.CPUSharePercent) < j.MemoryMB {
			continue
		}
		if best == nil || n.freeCPUCores > best.freeCPUCores {
			best = n
		}
	}
	if best == nil {
		return
	}
	best.cpuReservedFor = j
	j.cpuNode = best
	s.refreshCPU(best)
}

// dropCPUReservation gives up the worker that is reserved for a job.
func (s *Scheduler) dropCPUReservation(j *job) {
	if j.cpuNode == nil {
		return
	}
	n := j.cpuNode
	n.cpuReservedFor, j.cpuNode = nil, nil
	s.refreshCPU(n)
}
