package scheduler

import "fmt"

// impossible says why jobs of a key can never run on the workers known, whether
// they are healthy or not.
func (s *Scheduler) impossible(q *queue) (RejectReason, string, bool) {
	k := &q.key
	if k.accelerators == 0 {
		return s.impossibleCPU(k)
	}
	if total := s.size.total(); k.accelerators > total {
		return RejectTooLarge, fmt.Sprintf("%d accelerators asked, %d exist", k.accelerators, total), true
	}
	if !s.someWorkerFits(k) {
		return RejectWorkerSize, "no worker has the cores and memory for one accelerator of the job", true
	}
	if s.find(&s.size, k) == nil {
		return RejectAdjacency, fmt.Sprintf("no %s has %d accelerators with the cores and memory", k.span, k.accelerators), true
	}
	if reserved := s.othersBlocks(q.account); !q.head.Job.borrows() && k.accelerators > s.size.total()-reserved {
		return RejectTooLarge, "a job that may not borrow may not use what is guaranteed to others", true
	}
	return 0, "", false
}

func (s *Scheduler) impossibleCPU(k *queueKey) (RejectReason, string, bool) {
	for _, n := range s.nodeByID {
		if n.cpuBudget(s.policy.CPUSharePercent) >= k.cores && n.memBudget(s.policy.CPUSharePercent) >= k.memory {
			return 0, "", false
		}
	}
	return RejectWorkerSize, fmt.Sprintf("no worker gives %d cores and %d MB to jobs without accelerators", k.cores, k.memory), true
}

func (s *Scheduler) someWorkerFits(k *queueKey) bool {
	if s.plain(k) {
		return true
	}
	for _, n := range s.nodeByID {
		if n.Accelerators > 0 && s.units(k, n) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) othersBlocks(a *account) int {
	t := 0
	for _, x := range s.accountList {
		if x == a {
			continue
		}
		for _, b := range x.blocks {
			t += b.shape.Accelerators
		}
	}
	return t
}

// rejectImpossible rejects the whole queue if its jobs can never run. While
// workers still announce themselves nobody is rejected for size.
func (s *Scheduler) rejectImpossible(q *queue) bool {
	if s.now.Before(s.settled) || len(s.nodeByID) == 0 || q.sized == s.shape+1 {
		return false
	}
	why, detail, never := s.impossible(q)
	if !never {
		q.sized = s.shape + 1
		return false
	}
	for q.head != nil {
		s.endJob(q.head, why, detail)
	}
	return true
}
