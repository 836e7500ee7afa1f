package store

import (
	"context"
	"time"
)

// Revision orders all writes of the store. It only grows while the store is
// not restored from a backup.
type Revision int64

// LeaseID names a lease granted by the store. Zero means no lease.
type LeaseID int64

// KeyValue is one key as the store held it at some revision.
type KeyValue struct {
	Key     string
	Value   []byte
	Created Revision // revision of the write that created the key
	Mod     Revision // revision of the last write to the key
	Lease   LeaseID
}

// Snapshot is a consistent listing: all keys below a prefix at one revision.
// A watch from At+1 misses nothing that the listing does not hold.
type Snapshot struct {
	Keys []KeyValue
	At   Revision
	// Source names the life of the store that answered. It differs after a
	// restore from a backup, and only while it is the same do equal revisions
	// mean equal contents.
	Source uint64
}

// Swap is one compare-and-swap: the write takes effect only while the key's
// last modification is still at Expect. Expect zero means that the key must
// not exist.
//
// Value must differ from every other value ever proposed for the key (carry a
// unique token in it). After a lost reply the client reads the key back and
// recognises its own write by the bytes; without the token, another process's
// equal value would be taken for our own.
type Swap struct {
	Key    string
	Expect Revision
	Value  []byte
	Delete bool // remove the key instead of writing Value
	Lease  LeaseID
}

// SwapResult is the outcome of one Swap.
type SwapResult struct {
	// Swapped is true when the write took effect, also when that became known
	// only by reading the key back.
	Swapped bool
	// Unknown is true when the reply was lost and reading back could not show
	// whether the write took effect. Swapped is false then.
	Unknown bool
	// Current is the key after the call where known. Current.Mod is zero where
	// the key does not exist.
	Current KeyValue
}

// Event is one change seen by a watch. A deleted key has Deleted set and only
// Key and Mod filled in.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch is what a watch delivers at once, in revision order. An empty
// Events is a progress notice: all changes up to At have been delivered.
type WatchBatch struct {
	Events []Event
	At     Revision
}

// Store is what the system needs of the platform's key-value service.
// Implementations are safe for concurrent use. Every method returns promptly
// with ErrUnavailable when the service cannot be reached; callers decide
// whether to wait.
type Store interface {
	// Get reads one key, linearizable. The second result is false where the
	// key does not exist.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// List reads every key below prefix at one revision, in pages: a call for
	// each thousand keys.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// ListKeys is List without the values.
	ListKeys(ctx context.Context, prefix string) (Snapshot, error)
	// Commit runs independent swaps in one call to the store, in order. Each
	// swap succeeds or fails by itself. The results are parallel to swaps. An
	// error means that no swap took effect; a swap whose outcome could not be
	// determined is reported by SwapResult.Unknown instead.
	Commit(ctx context.Context, swaps []Swap) ([]SwapResult, error)
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease and returns its ttl. ErrLeaseNotFound means that
	// the lease has lapsed and its keys are gone.
	Renew(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers every change below prefix from revision from on, without
	// gap, reconnecting by itself, until ctx ends or ErrCompacted is met; then
	// it returns that error. deliver is called from one goroutine at a time.
	Watch(ctx context.Context, prefix string, from Revision, deliver func(WatchBatch)) error
}
