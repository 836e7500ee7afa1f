package routing

// RetryPolicy limits the retries of a Router.
type RetryPolicy struct {
	Share        float64 // retries per first attempt, of all client accounts together
	AccountShare float64 // retries per first attempt of one client account
	Burst        int     // most retries that a budget holds
}

// SetRetryPolicy replaces the retry policy. The zero policy allows no retries.
// Budgets that hold more than the new burst are reduced to it.
func (r *Router) SetRetryPolicy(p RetryPolicy) {
	r.retryPolicy.Store(&p)
	r.retryBudget.truncate(p.Burst)
	for i := range r.accounts.buckets {
		r.accounts.buckets[i].retryBudget.truncate(p.Burst)
	}
}

// truncate reduces the budget to at most burst retries.
func (b *retryBudget) truncate(burst int) {
	limit := int64(burst) * tokensPerRetry
	for {
		tokens := b.tokens.Load()
		if tokens <= limit || b.tokens.CompareAndSwap(tokens, limit) {
			return
		}
	}
}
