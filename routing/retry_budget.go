package routing

import "sync/atomic"

// tokensPerRetry is one retry in the units of a budget.
const tokensPerRetry = 1000

// retryBudget is a token bucket that first attempts fill and retries empty. Retries
// never exceed burst + share x first attempts.
//
// It guards against retry amplification: when targets fail, each failed attempt
// would be tried again, the extra load makes more attempts fail, and the
// overload outlasts its cause. The share bounds the extra load to a fixed part
// of the offered load.
type retryBudget struct {
	tokens atomic.Int64
}

func (b *retryBudget) reset(burst int) { b.tokens.Store(int64(burst) * tokensPerRetry) }

// deposit adds the share of one first attempt. A full bucket stays as it is, so
// that attempts of long ago do not pay for a later burst of retries.
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
