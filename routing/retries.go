package routing

// RetryPolicy is the policy of the retry budget.
type RetryPolicy struct {
	Share        float64 // retries per first attempt, all client accounts together
	AccountShare float64 // retries per first attempt of one client account
	Burst        int     // retries that the budget holds at most
}

// SetRetryPolicy puts a policy in force. Zeros mean no retries. Budgets that hold
// more than the new burst are cut to it. It is safe for concurrent use.
func (r *Router) SetRetryPolicy(p RetryPolicy) {
	r.policy.Store(&p)
	r.retries.limit(p.Burst)
	for i := range r.accounts.buckets {
		r.accounts.buckets[i].retries.limit(p.Burst)
	}
}

// limit cuts a budget to the burst.
func (b *budget) limit(burst int) {
	most := int64(burst) * tokenUnit
	for {
		have := b.tokens.Load()
		if have <= most || b.tokens.CompareAndSwap(have, most) {
			return
		}
	}
}
