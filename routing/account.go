package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// accountBuckets bounds the memory kept for client accounts. Accounts whose
// names hash to one bucket share its counters; each router salts the hash, so
// that two accounts do not collide at every entry.
const accountBuckets = 1024

// accountState is what the router keeps for the client accounts of one bucket.
type accountState struct {
	inflight      atomic.Int64
	retryBudget   retryBudget
	retrySchedule retrySchedule
}

type accounts struct {
	salt    uint64
	buckets [accountBuckets]accountState
}

func (a *accounts) get(name string) *accountState {
	h := mix(xxhash.Sum64String(name) ^ a.salt)
	return &a.buckets[h%accountBuckets]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
