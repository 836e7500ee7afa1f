package store

import (
	"context"
	"time"
)

// Revision numbers the writes of the store in order. It never decreases unless the
// store is restored from a backup.
type Revision int64

// LeaseID identifies a lease granted by the store. Zero means no lease.
type LeaseID int64

// KeyValue is the state of one key at some revision.
//
// Package link encodes the fields of KeyValue, Snapshot, Swap, Condition and
// CommitOutcome by their names; renaming one changes the protocol between gateways.
type KeyValue struct {
	Key     string
	Value   []byte
	Created Revision // revision of the write that created the key
	Mod     Revision // revision of the last write to the key
	Lease   LeaseID
}

// Snapshot is a consistent listing of all keys with a prefix at revision At. A watch
// from At+1 delivers every change that is not in it.
type Snapshot struct {
	Keys []KeyValue
	At   Revision
	// Source identifies the history of the store that answered. It changes when the
	// store is restored from a backup. Equal revisions mean equal contents only if
	// Source is equal too.
	Source uint64
}

// Swap is one compare-and-swap: the write takes effect only if the key's last
// modification has revision Expect. Zero means that the key must not exist.
//
// Value must differ from every other value ever proposed for the key, for example by a
// unique token. After a lost reply the client recognises its own write by its value;
// another process's equal value would be mistaken for it.
type Swap struct {
	Key    string
	Expect Revision
	Value  []byte
	Delete bool // delete the key instead of writing Value
	Lease  LeaseID
}

// SwapResult is the result of one Swap.
type SwapResult struct {
	// Swapped is true if the write took effect, even if that was determined only by
	// reading the key back.
	Swapped bool
	// Unknown is true if the reply was lost and it could not be determined whether the
	// write took effect. Swapped is false then.
	Unknown bool
	// Current is the key after the call, if known. Current.Mod is zero if the key does
	// not exist.
	Current KeyValue
}

// Event is one change delivered by a watch. For a deleted key only Deleted, Key and Mod
// are set.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch is a group of events, in revision order. A batch without events is a
// progress notice: all changes up to At have been delivered.
type WatchBatch struct {
	Events []Event
	At     Revision
}

// Store is a client of the platform's key-value service. Implementations are safe for
// concurrent use. Every method returns promptly with ErrUnavailable if the service
// cannot be reached; callers decide whether to retry.
type Store interface {
	// Get reads one key with linearizable consistency. The second result is false if
	// the key does not exist.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// List reads all keys with the prefix at one revision, in pages of a thousand keys
	// with one call each.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// ListKeys is like List but leaves the values out.
	ListKeys(ctx context.Context, prefix string) (Snapshot, error)
	// Commit makes independent swaps, in order. Each swap succeeds or fails by itself.
	// The results correspond to swaps by index. An error means that no swap took
	// effect; a swap whose outcome could not be determined has SwapResult.Unknown set
	// instead.
	Commit(ctx context.Context, swaps []Swap) ([]SwapResult, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease and returns its ttl. ErrLeaseNotFound means that the lease
	// has expired and its keys are deleted.
	Renew(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers every change below prefix, starting with revision from, without
	// gaps. It reconnects by itself until ctx ends or it meets ErrCompacted, and
	// returns that error. deliver is called from one goroutine at a time.
	Watch(ctx context.Context, prefix string, from Revision, deliver func(WatchBatch)) error
}
