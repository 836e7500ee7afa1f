package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// accountBuckets bounds the memory used for client accounts. Accounts whose
// names hash to the same bucket share its counters. Each router salts the hash,
// so that two accounts do not collide at every entry.
const accountBuckets = 1024

// accountState holds the counters and retry limits of the client accounts in one
// bucket.
type accountState struct {
	inflight      atomic.Int64
	retryBudget   retryBudget
	retrySchedule retrySchedule
}

// accounts is a hash table of fixed size from account names to their state.
type accounts struct {
	salt    uint64
	buckets [accountBuckets]accountState
}

// get returns the state of the bucket that the account name hashes to.
func (a *accounts) get(name string) *accountState {
	h := mix(xxhash.Sum64String(name) ^ a.salt)
	return &a.buckets[h%accountBuckets]
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
