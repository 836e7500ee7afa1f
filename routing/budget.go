package routing

import "sync/atomic"

// tokenUnit is one retry in the units of a budget.
const tokenUnit = 1000

// budget is a token bucket that first attempts fill and retries empty. Retries
// never exceed burst + share x first attempts.
//
// It guards against retry amplification: when targets fail, each failed attempt
// would be tried again, the extra load makes more attempts fail, and the
// overload outlasts its cause. The share bounds the extra load to a fixed part
// of the offered load.
type budget struct {
	tokens atomic.Int64
}

func (b *budget) fill(burst int) { b.tokens.Store(int64(burst) * tokenUnit) }

// earn adds the share of one first attempt. A full bucket stays as it is, so
// that attempts of long ago do not pay for a later burst of retries.
func (b *budget) earn(share float64, burst int) {
	add := int64(share * tokenUnit)
	limit := int64(burst) * tokenUnit
	for {
		have := b.tokens.Load()
		if have >= limit {
			return
		}
		if b.tokens.CompareAndSwap(have, min(have+add, limit)) {
			return
		}
	}
}

func (b *budget) spend() bool {
	for {
		have := b.tokens.Load()
		if have < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-tokenUnit) {
			return true
		}
	}
}

func (b *budget) refund() { b.tokens.Add(tokenUnit) }
