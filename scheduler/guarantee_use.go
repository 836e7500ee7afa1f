package scheduler

// unusedGuarantee returns the accelerators of the account's bound blocks that
// its jobs don't use.
func (a *account) unusedGuarantee() int {
	t := 0
	for _, b := range a.blocks {
		t += b.unused()
	}
	return t
}

// coveredByGuarantee reports whether evicting the attempt would leave its
// account with less than its guarantee. Such an attempt runs outside the
// blocks, because a larger job waited or the block was in use.
func (r *run) coveredByGuarantee() bool { return !guaranteesMetWithout([]*run{r}) }

// guaranteesMetWithout reports whether the accounts of all attempts would still
// use as much as they are guaranteed without these attempts.
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

// oversizedAccount returns the account of a job that its account's blocks could
// not hold if all were unused, else nil. Only a job that may be spread over the
// domain can use several blocks.
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
