package scheduler

import "slices"

// policyChanged puts a policy in force. Blocks that stay guaranteed keep their
// place and the jobs in them.
func (s *Scheduler) policyChanged(p Policy) {
	if p.Generation < s.policy.Generation {
		return
	}
	share := s.policy.CPUSharePercent
	s.policy = p.WithDefaults()
	for _, a := range s.accountList {
		a.known = false
	}
	for _, ap := range s.policy.Accounts {
		a := s.accountOf(ap.ID)
		a.known = true
		a.policy = ap
	}
	for _, a := range s.accountList {
		s.setBlocks(a)
	}
	s.dropUnknown()
	if share != s.policy.CPUSharePercent {
		s.resizeCPU()
	}
	s.grown++
	s.shape++
	s.shrunk++ // blocks may need more
}

// setBlocks makes the blocks of an account those that its policy declares.
func (s *Scheduler) setBlocks(a *account) {
	want := map[degradedKey]int{}
	if a.known {
		for _, g := range a.policy.Guaranteed {
			want[keyOfShape(a, g)] += g.Count
		}
	}
	s.dropBlocks(a, want)
	if !a.known {
		return
	}
	for _, g := range a.policy.Guaranteed {
		k := keyOfShape(a, g)
		for ; want[k] > 0; want[k]-- {
			b := &block{account: a, shape: g, index: -1}
			b.shape.Count = 1
			a.blocks = append(a.blocks, b)
			s.addUnbound(b)
		}
	}
}

// dropBlocks takes surplus blocks away, unused ones first, and counts those that
// are kept off want.
func (s *Scheduler) dropBlocks(a *account, want map[degradedKey]int) {
	sorted := slices.Clone(a.blocks)
	slices.SortStableFunc(sorted, func(x, y *block) int { return y.used - x.used })
	a.blocks = nil
	for _, b := range sorted {
		k := keyOfShape(a, b.shape)
		if want[k] > 0 {
			want[k]--
			a.blocks = append(a.blocks, b)
			continue
		}
		s.detach(b)
		s.tighten(b)
	}
}

// dropUnknown ends the waiting jobs of accounts that are no longer declared and
// forgets those accounts once nothing of theirs runs.
func (s *Scheduler) dropUnknown() {
	for _, j := range slices.Clone(s.delayed) {
		if !j.account.known {
			s.endJob(j, RejectUnknownAccount, "the account was removed")
		}
	}
	for _, a := range s.accountList {
		if a.known {
			continue
		}
		for _, q := range a.order {
			for q.head != nil {
				s.endJob(q.head, RejectUnknownAccount, "the account was removed")
			}
		}
	}
	s.accountList = slices.DeleteFunc(s.accountList, func(a *account) bool {
		gone := !a.known && a.running == 0 && a.waiting == 0
		if gone {
			delete(s.accounts, a.policy.ID)
		}
		return gone
	})
}

func (s *Scheduler) resizeCPU() {
	s.cores, s.minCores, s.minMem = 0, 0, 0
	for _, n := range s.nodes {
		s.cores += n.cpuBudget(s.policy.CPUSharePercent)
		s.leastShare(n)
		s.recountCPU(n)
		s.refreshCPU(n)
	}
}
