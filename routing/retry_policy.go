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
	r.retryPolicy.Store(&p)
	r.retryBudget.truncate(p.Burst)
	for i := range r.accounts.buckets {
		r.accounts.buckets[i].retryBudget.truncate(p.Burst)
	}
}

// truncate cuts a budget to the burst.
func (b *retryBudget) truncate(burst int) {
	limit := int64(burst) * tokensPerRetry
	for {
		tokens := b.tokens.Load()
		if tokens <= limit || b.tokens.CompareAndSwap(tokens, limit) {
			return
		}
	}
}
