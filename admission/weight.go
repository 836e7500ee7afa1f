package admission

// account returns the client account of an arrival. A returning account starts
// at the present virtual time at the earliest: time without work earns nothing.
func (q *Queue) account(ev Arrived) *account {
	a := q.members.take(ev.Account)
	if len(a.waiting) == 0 {
		a.start = max(a.start, q.virtual)
	}
	a.weight = q.weight(ev)
	return a
}

func (q *Queue) weight(ev Arrived) float64 {
	if w, ok := q.weights[ev.Account]; ok {
		return float64(max(1, w))
	}
	return float64(max(1, ev.Weight))
}

func (q *Queue) reweigh(weights map[string]int) {
	q.weights = weights
	for name, a := range q.members.busy {
		if w, ok := weights[name]; ok {
			a.weight = float64(max(1, w))
		}
	}
}

func (q *Queue) changePolicy(p PolicyChanged) {
	q.reweigh(p.Weights)
	q.bounds = p.AccountMaxQueued
	replace(&q.options.MaxQueued, p.MaxQueued)
	replace(&q.options.TargetSojourn, p.TargetSojourn)
	replace(&q.options.CongestionInterval, p.CongestionInterval)
}

func replace[T int | float64](field *T, value T) {
	if value > 0 {
		*field = value
	}
}

// bound is how many requests of the account may be queued.
func (q *Queue) bound(account string) int {
	if n, ok := q.bounds[account]; ok {
		return n
	}
	return q.options.MaxQueuedPerAccount
}
