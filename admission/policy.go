package admission

// accountFor returns the client account of an arrival. An account that returns
// starts at the current virtual time at the earliest, so that idle time earns no
// credit.
func (q *Queue) accountFor(ev Arrived) *account {
	a := q.accounts.activate(ev.Account)
	if len(a.waiting) == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime)
	}
	a.weight = q.weight(ev)
	return a
}

// weight returns the account's weight according to the policy, or else the arrival's.
func (q *Queue) weight(ev Arrived) float64 {
	if w, ok := q.weights[ev.Account]; ok {
		return float64(max(1, w))
	}
	return float64(max(1, ev.Weight))
}

func (q *Queue) setWeights(weights map[string]int) {
	q.weights = weights
	for name, a := range q.accounts.active {
		if w, ok := weights[name]; ok {
			a.weight = float64(max(1, w))
		}
	}
}

func (q *Queue) changePolicy(p PolicyChanged) {
	q.setWeights(p.Weights)
	q.accountMaxQueued = p.AccountMaxQueued
	setIfPositive(&q.options.MaxQueued, p.MaxQueued)
	setIfPositive(&q.options.TargetSojourn, p.TargetSojourn)
	setIfPositive(&q.options.CongestionInterval, p.CongestionInterval)
}

func setIfPositive[T int | float64](field *T, value T) {
	if value > 0 {
		*field = value
	}
}

// maxQueuedFor returns how many requests of the account may be queued.
func (q *Queue) maxQueuedFor(account string) int {
	if n, ok := q.accountMaxQueued[account]; ok {
		return n
	}
	return q.options.MaxQueuedPerAccount
}
