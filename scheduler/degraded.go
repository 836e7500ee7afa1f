package scheduler

// shapeKey is a shape of an account, without its count.
type shapeKey struct {
	account      AccountID
	accelerators int
	span         Adjacency
}

func shapeKeyOf(a *account, g Shape) shapeKey {
	return shapeKey{a.policy.ID, g.Accelerators, g.Adjacency}
}

// reportGuarantees emits an action for every shape whose number of unbound
// blocks has changed since the last decision, in the order of the accounts.
func (s *Scheduler) reportGuarantees() {
	if len(s.unbound) == 0 && len(s.degraded) == 0 {
		return
	}
	unplaced := map[shapeKey]int{}
	for _, b := range s.unbound {
		unplaced[shapeKeyOf(b.account, b.shape)]++
	}
	for _, a := range s.accountList {
		for _, g := range a.policy.Guaranteed {
			k := shapeKeyOf(a, g)
			if unplaced[k] == s.degraded[k] {
				continue
			}
			if unplaced[k] == 0 {
				s.emit(GuaranteeRestored{a.policy.ID, g})
			} else {
				s.emit(GuaranteeDegraded{a.policy.ID, g, unplaced[k]})
			}
			s.degraded[k] = unplaced[k]
		}
	}
	s.degraded = unplaced
}
