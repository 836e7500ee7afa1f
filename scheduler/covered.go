package scheduler

// unusedGuarantee is how many accelerators of its guarantee an account does not use.
func (a *account) unusedGuarantee() int {
	t := 0
	for _, b := range a.blocks {
		t += b.unused()
	}
	return t
}

// coveredByGuarantee reports whether evicting a run without need of a guarantee would leave
// its account with less than its guarantee although it could use it all. Such a
// run started beside the block, while a larger job waited or the block was in
// use, and its account counts on it no less.
func (r *run) coveredByGuarantee() bool { return !guaranteesMetWithout([]*run{r}) }

// guaranteesMetWithout reports whether the accounts of all runs would still use as
// much as they are guaranteed without them.
func guaranteesMetWithout(runs []*run) bool {
	released := map[*account]int{}
	for _, r := range runs {
		released[r.job.account] += r.size()
	}
	for a, n := range released {
		if a.usedOutsideBlocks-n < a.unusedGuarantee() {
			return false
		}
	}
	return true
}

// oversizedAccount returns the account of a job that the blocks of its account could
// not hold if all were unused, else nil. Only a job that may be spread uses
// several blocks.
func (j *job) oversizedAccount() *account {
	sum := 0
	for _, b := range j.account.blocks {
		if j.Accelerators <= b.shape.Accelerators {
			return nil
		}
		sum += b.shape.Accelerators
	}
	if j.Adjacency == AdjacentAny && j.Accelerators <= sum {
		return nil
	}
	return j.account
}
