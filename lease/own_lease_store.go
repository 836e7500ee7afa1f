package lease

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// ownTenure has a lease for its one duty.
type ownTenure struct {
	store store.Store
	key   string // of the holder
	ttl   time.Duration
	clock func() time.Duration
	// taken is told when another is found to hold the duty.
	taken func()
	// left says whether a claim is one that this instance left behind.
	left func(value []byte) bool
	// depose has a token when the present holder's claim is to be removed.
	depose <-chan struct{}
}

// awaitVacant lists the holder key and, while it exists, watches it. Waiting
// candidates cost the store one waiting watch each and no polling.
func (o *ownTenure) awaitVacant(ctx context.Context) Event {
	snap, err := o.store.List(ctx, o.key)
	if err != nil {
		return failed(err)
	}
	if len(snap.Keys) == 0 {
		return Vacant{}
	}
	if o.left(snap.Keys[0].Value) {
		return o.remove(ctx, snap.Keys[0])
	}
	o.taken()
	switch result, err := o.watchHolder(ctx, snap.At+1); {
	case result == holderLeft:
		return Vacant{}
	case result == holderDeposed:
		return o.remove(ctx, snap.Keys[0])
	default:
		return failed(err)
	}
}

// departure is how a watch of the holder key ended.
type departure int

const (
	holderStays   departure = iota
	holderLeft              // the key was deleted
	holderDeposed           // the holder is believed to be dead
)

// watchHolder waits until the holder key is deleted or the holder is to be deposed.
func (o *ownTenure) watchHolder(ctx context.Context, from store.Revision) (departure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var takeover atomic.Bool
	go func() {
		select {
		case <-o.depose:
			takeover.Store(true)
			cancel()
		case <-ctx.Done():
		}
	}()
	deleted := false
	err := o.store.Watch(ctx, o.key, from, func(b store.WatchBatch) {
		for _, e := range b.Events {
			deleted = e.Deleted
		}
		if deleted {
			cancel()
		}
	})
	switch {
	case deleted:
		return holderLeft, nil
	case takeover.Load():
		return holderDeposed, nil
	}
	return holderStays, err
}

// remove deletes a claim whose holder is gone or believed so, so that its lease need not
// be waited for. A claim made since is left alone.
func (o *ownTenure) remove(ctx context.Context, kv store.KeyValue) Event {
	deleted, err := o.swap(ctx, store.Swap{Key: kv.Key, Expect: kv.Mod, Delete: true})
	if err != nil {
		return failed(err)
	}
	if !deleted {
		return Failed{}
	}
	return Vacant{}
}

func (o *ownTenure) grant(ctx context.Context) Event {
	sent := o.clock()
	id, err := o.store.Grant(ctx, o.ttl)
	if err != nil {
		return failed(err)
	}
	return Granted{Lease: id, Sent: sent}
}

func (o *ownTenure) swap(ctx context.Context, s store.Swap) (bool, error) {
	results, err := o.store.Commit(ctx, []store.Swap{s})
	if err != nil {
		return false, err
	}
	return results[0].Swapped, nil
}

func (o *ownTenure) read(ctx context.Context, key string) (store.KeyValue, bool, error) {
	return o.store.Get(ctx, key)
}

func (o *ownTenure) verify(ctx context.Context, claim []byte, _ bool) Event {
	kv, ok, err := o.store.Get(ctx, o.key)
	if err != nil {
		return failed(err)
	}
	return Verified{Owned: ok && bytes.Equal(kv.Value, claim)}
}

func (o *ownTenure) renew(ctx context.Context, lease store.LeaseID) Event {
	sent := o.clock()
	if _, err := o.store.Renew(ctx, lease); err != nil {
		return failed(err)
	}
	return Renewed{Sent: sent}
}

// release is not cut short by the Holder's own end: the next candidate waits
// for it. The lease lapses by itself within the TTL where it fails. It also
// undoes a creation of the holder key that is still on its way.
func (o *ownTenure) release(lease store.LeaseID, _ []byte, _ bool) {
	ctx, cancel := context.WithTimeout(context.Background(), o.ttl)
	defer cancel()
	_ = o.store.Revoke(ctx, lease)
}

func (o *ownTenure) lost() <-chan struct{} { return nil }
