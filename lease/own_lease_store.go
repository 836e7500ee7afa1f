package lease

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// ownLeaseStore gives a Candidate a lease of its own.
type ownLeaseStore struct {
	store     store.Store
	holderKey string
	epochKey  string
	ttl       time.Duration
	clock     func() time.Duration
	// onOccupied is called when another process is found to be the leader.
	onOccupied func()
	// isStaleClaim reports whether the value of the holder key was left behind by an
	// earlier process of this instance.
	isStaleClaim func(value []byte) bool
	// takeoverRequested receives the epoch of a leader whose holder key is to be deleted.
	takeoverRequested <-chan uint64
}

// awaitVacant lists the holder key and watches it while it exists. A waiting candidate
// costs the store one watch and no polling.
func (o *ownLeaseStore) awaitVacant(ctx context.Context) Event {
	snap, err := o.store.List(ctx, o.holderKey)
	if err != nil {
		return failedEvent(err)
	}
	if len(snap.Keys) == 0 {
		return Vacant{}
	}
	if o.isStaleClaim(snap.Keys[0].Value) {
		return o.removeClaim(ctx, snap.Keys[0])
	}
	o.onOccupied()
	switch result, deadEpoch, err := o.watchHolderKey(ctx, snap.At+1); {
	case result == holderKeyDeleted:
		return Vacant{}
	case result == takeoverForced:
		return o.removeDeadClaim(ctx, snap.Keys[0], deadEpoch)
	default:
		return failedEvent(err)
	}
}

// watchResult is how a watch of the holder key ended.
type watchResult int

const (
	watchFailed watchResult = iota
	holderKeyDeleted
	takeoverForced // the leader is believed to be dead
)

// watchHolderKey waits until the holder key is deleted or a takeover is requested. In the latter
// case it returns the epoch of the leader that is believed to be dead.
func (o *ownLeaseStore) watchHolderKey(ctx context.Context, from store.Revision) (result watchResult, deadEpoch uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var takeover atomic.Pointer[uint64]
	go func() {
		select {
		case epoch := <-o.takeoverRequested:
			takeover.Store(&epoch)
			cancel()
		case <-ctx.Done():
		}
	}()
	deleted := false
	err = o.store.Watch(ctx, o.holderKey, from, func(b store.WatchBatch) {
		for _, e := range b.Events {
			deleted = e.Deleted
		}
		if deleted {
			cancel()
		}
	})
	epoch := takeover.Load()
	switch {
	case deleted:
		return holderKeyDeleted, 0, nil
	case epoch != nil:
		return takeoverForced, *epoch, nil
	}
	return watchFailed, 0, err
}

// removeDeadClaim deletes the holder key of a leader that is believed to be dead, unless a leader
// with a higher epoch holds it: whoever asked may not know of that one yet.
func (o *ownLeaseStore) removeDeadClaim(ctx context.Context, kv store.KeyValue, deadEpoch uint64) Event {
	last, ok, err := o.store.Get(ctx, o.epochKey)
	if err != nil {
		return failedEvent(err)
	}
	if ok {
		epoch, err := ParseEpoch(last.Value)
		if err != nil {
			return failedEvent(err)
		}
		if epoch > deadEpoch {
			return Failed{}
		}
	}
	return o.removeClaim(ctx, kv)
}

// removeClaim deletes the holder key of a leader that is dead or believed to be, so
// that its lease need not expire first. A key that was written since is left alone.
func (o *ownLeaseStore) removeClaim(ctx context.Context, kv store.KeyValue) Event {
	deleted, err := o.swap(ctx, store.Swap{Key: kv.Key, Expect: kv.Mod, Delete: true})
	if err != nil {
		return failedEvent(err)
	}
	if !deleted {
		return Failed{}
	}
	return Vacant{}
}

func (o *ownLeaseStore) grant(ctx context.Context) Event {
	sent := o.clock()
	id, err := o.store.Grant(ctx, o.ttl)
	if err != nil {
		return failedEvent(err)
	}
	return Granted{Lease: id, Sent: sent}
}

func (o *ownLeaseStore) swap(ctx context.Context, s store.Swap) (bool, error) {
	results, err := o.store.Commit(ctx, []store.Swap{s})
	if err != nil {
		return false, err
	}
	return results[0].Swapped, nil
}

func (o *ownLeaseStore) read(ctx context.Context, key string) (store.KeyValue, bool, error) {
	return o.store.Get(ctx, key)
}

func (o *ownLeaseStore) verify(ctx context.Context, claim []byte, _ bool) Event {
	kv, ok, err := o.store.Get(ctx, o.holderKey)
	if err != nil {
		return failedEvent(err)
	}
	return Verified{Owned: ok && bytes.Equal(kv.Value, claim)}
}

func (o *ownLeaseStore) renew(ctx context.Context, lease store.LeaseID) Event {
	sent := o.clock()
	if _, err := o.store.Renew(ctx, lease); err != nil {
		return failedEvent(err)
	}
	return Renewed{Sent: sent}
}

// release revokes the lease, which also undoes a creation of the holder key that is
// still in flight. It continues after the Candidate has resigned, because the next
// candidate waits for it. If it fails, the lease expires within the TTL.
func (o *ownLeaseStore) release(lease store.LeaseID, _ []byte, _ bool) {
	ctx, cancel := context.WithTimeout(context.Background(), o.ttl)
	defer cancel()
	_ = o.store.Revoke(ctx, lease)
}

func (o *ownLeaseStore) lost() <-chan struct{} { return nil }
