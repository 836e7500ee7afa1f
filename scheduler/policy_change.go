package scheduler

import "slices"

// applyPolicy activates a policy. Blocks that stay guaranteed keep their
// bindings and the jobs in them.
func (s *Scheduler) applyPolicy(p Policy) {
	if p.Generation < s.policy.Generation {
		return
	}
	oldCPUShare := s.policy.CPUSharePercent
	s.policy = p.WithDefaults()
	for _, a := range s.accountList {
		a.declared = false
	}
	for _, ap := range s.policy.Accounts {
		a := s.accountOf(ap.ID)
		a.declared = true
		a.policy = ap
	}
	for _, a := range s.accountList {
		s.setBlocks(a)
	}
	s.dropUndeclaredAccounts()
	if oldCPUShare != s.policy.CPUSharePercent {
		s.recomputeCPUShare()
	}
	s.capacityGen++
	s.topologyGen++
	s.shrinkGen++ // the policy may guarantee more
}

// setBlocks adds and drops blocks of an account to match its policy.
func (s *Scheduler) setBlocks(a *account) {
	want := map[shapeKey]int{}
	if a.declared {
		for _, g := range a.policy.Guaranteed {
			want[shapeKeyOf(a, g)] += g.Count
		}
	}
	s.dropBlocks(a, want)
	if !a.declared {
		return
	}
	for _, g := range a.policy.Guaranteed {
		k := shapeKeyOf(a, g)
		for ; want[k] > 0; want[k]-- {
			b := &block{account: a, shape: g, unboundIndex: -1}
			b.shape.Count = 1
			a.blocks = append(a.blocks, b)
			s.addUnbound(b)
		}
	}
}

// dropBlocks drops surplus blocks, unused ones first, and subtracts those that
// it keeps from want.
func (s *Scheduler) dropBlocks(a *account, want map[shapeKey]int) {
	sorted := slices.Clone(a.blocks)
	slices.SortStableFunc(sorted, func(x, y *block) int { return y.used - x.used })
	a.blocks = nil
	for _, b := range sorted {
		k := shapeKeyOf(a, b.shape)
		if want[k] > 0 {
			want[k]--
			a.blocks = append(a.blocks, b)
			continue
		}
		s.detach(b)
		s.removeUnbound(b)
	}
}

// dropUndeclaredAccounts rejects the waiting jobs of accounts that are no
// longer declared, and forgets those accounts once none of their attempts run.
func (s *Scheduler) dropUndeclaredAccounts() {
	for _, j := range slices.Clone(s.delayed) {
		if !j.account.declared {
			s.endJob(j, RejectUnknownAccount, "the account was removed")
		}
	}
	for _, a := range s.accountList {
		if a.declared {
			continue
		}
		for _, q := range a.queueList {
			for q.head != nil {
				s.endJob(q.head, RejectUnknownAccount, "the account was removed")
			}
		}
	}
	s.accountList = slices.DeleteFunc(s.accountList, func(a *account) bool {
		gone := !a.declared && a.running == 0 && a.waiting == 0
		if gone {
			delete(s.accounts, a.policy.ID)
		}
		return gone
	})
}

// recomputeCPUShare recomputes all counts that depend on CPUSharePercent.
func (s *Scheduler) recomputeCPUShare() {
	s.cpuJobCores, s.minCoresPerAccelerator, s.minMemPerAccelerator = 0, 0, 0
	for _, n := range s.nodes {
		s.cpuJobCores += n.cpuBudget(s.policy.CPUSharePercent)
		s.lowerMinShare(n)
		s.recountCPU(n)
		s.refreshCPU(n)
	}
}
