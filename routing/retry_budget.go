package routing

import "sync/atomic"

// tokensPerRetry is the number of tokens that one retry costs. It allows first
// attempts to deposit fractions of a retry.
const tokensPerRetry = 1000

// retryBudget is a token bucket that first attempts fill and retries empty.
// Except for refunds, retries never exceed burst + share * first attempts.
//
// It prevents retry amplification: without it, retries of failed attempts add
// load, the load makes more attempts fail, and the overload outlasts its cause.
type retryBudget struct {
	tokens atomic.Int64
}

// reset fills the bucket to burst retries.
func (b *retryBudget) reset(burst int) { b.tokens.Store(int64(burst) * tokensPerRetry) }

// deposit adds the share of one first attempt. A full bucket stays as it is, so
// that past attempts do not allow an unlimited burst of retries.
func (b *retryBudget) deposit(share float64, burst int) {
	earned := int64(share * tokensPerRetry)
	limit := int64(burst) * tokensPerRetry
	for {
		tokens := b.tokens.Load()
		if tokens >= limit {
			return
		}
		if b.tokens.CompareAndSwap(tokens, min(tokens+earned, limit)) {
			return
		}
	}
}

// tryWithdraw takes the tokens of one retry and reports whether there were enough.
func (b *retryBudget) tryWithdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

func (b *retryBudget) refund() { b.tokens.Add(tokensPerRetry) }
