package scheduler

import "fmt"

// impossibleReason reports whether the jobs of a queue can never run on the
// known workers, healthy or not, and why.
func (s *Scheduler) impossibleReason(q *queue) (RejectReason, string, bool) {
	k := &q.key
	if k.accelerators == 0 {
		return s.impossibleCPUReason(k)
	}
	if total := s.installed.total(); k.accelerators > total {
		return RejectTooLarge, fmt.Sprintf("%d accelerators asked, %d exist", k.accelerators, total), true
	}
	if !s.someWorkerFits(k) {
		return RejectWorkerSize, "no worker has the cores and memory for one accelerator of the job", true
	}
	if s.findPlace(&s.installed, k) == nil {
		return RejectAdjacency, fmt.Sprintf("no %s has %d accelerators with the cores and memory", k.span, k.accelerators), true
	}
	if reserved := s.guaranteedToOthers(q.account); !q.head.Job.mayBorrow() && k.accelerators > s.installed.total()-reserved {
		return RejectTooLarge, "a job that may not borrow may not use what is guaranteed to others", true
	}
	return 0, "", false
}

func (s *Scheduler) impossibleCPUReason(k *queueKey) (RejectReason, string, bool) {
	for _, n := range s.nodeByID {
		if n.cpuBudget(s.policy.CPUSharePercent) >= k.cores && n.memBudget(s.policy.CPUSharePercent) >= k.memory {
			return 0, "", false
		}
	}
	return RejectWorkerSize, fmt.Sprintf("no worker gives %d cores and %d MB to jobs without accelerators", k.cores, k.memory), true
}

func (s *Scheduler) someWorkerFits(k *queueKey) bool {
	if s.fitsMinShare(k) {
		return true
	}
	for _, n := range s.nodeByID {
		if n.Accelerators > 0 && s.footprint(k, n) > 0 {
			return true
		}
	}
	return false
}

// guaranteedToOthers returns the accelerators of the blocks of all other
// accounts.
func (s *Scheduler) guaranteedToOthers(a *account) int {
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

// rejectImpossible rejects all jobs of a queue if they can never run. It
// rejects none while workers may still register.
func (s *Scheduler) rejectImpossible(q *queue) bool {
	if s.now.Before(s.settlingEnds) || len(s.nodeByID) == 0 || q.sizeCheckedStamp == s.topologyGen+1 {
		return false
	}
	reason, detail, never := s.impossibleReason(q)
	if !never {
		q.sizeCheckedStamp = s.topologyGen + 1
		return false
	}
	for q.head != nil {
		s.endJob(q.head, reason, detail)
	}
	return true
}
