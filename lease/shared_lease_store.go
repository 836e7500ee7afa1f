package lease

import (
	"bytes"
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// sharedLeaseStore lets a Candidate use the lease of a Session.
//
// Ending a leadership can't revoke that lease, so a creation of the holder key that is
// still in flight may take effect later and block the election while nobody leads.
// awaitVacant deletes such a key, which is bound to the Session's lease although this
// Candidate has no claim. A Candidate that will not compete again makes the Session
// abandon its lease instead.
type sharedLeaseStore struct {
	session   *Session
	holderKey string
	// onOccupied is called when another process is found to be the leader.
	onOccupied func()

	lease           *sessionLease
	renewedAt       time.Duration  // when the renewal reported last was sent
	minRevision     store.Revision // of the last own write, or of the key that it met
	claimRevision   store.Revision // of the own holder key; zero: unknown
	removedRevision store.Revision // of the holder key that was deleted last
	claimPending    bool           // a claim was sent and may still take effect
}

// cacheTimeout bounds the wait until the watch shows an own write; after that the store
// is read.
const cacheTimeout = 200 * time.Millisecond

func (o *sharedLeaseStore) awaitVacant(ctx context.Context) Event {
	l, err := o.session.awaitLease(ctx)
	if err != nil {
		return Failed{}
	}
	if l != o.lease {
		o.lease, o.minRevision, o.removedRevision = l, 0, 0
	}
	o.claimRevision, o.claimPending = 0, false
	for {
		kv, ok, ready, changed := l.cache.get(o.holderKey, o.minRevision)
		switch {
		case ready && !ok:
			return Vacant{}
		case ready && kv.Lease == l.id && kv.Mod != o.removedRevision:
			if _, err := o.removeClaim(ctx, kv.Mod); err != nil {
				return failedEvent(err)
			}
		case ready && kv.Lease == l.id: // the watch will report its deletion
		case ready:
			o.onOccupied()
		}
		if err := l.awaitChange(ctx, changed); err != nil {
			return failedEvent(err)
		}
	}
}

// removeClaim deletes the holder key if it is still at mod. It reports whether the key
// is certainly no longer at mod.
func (o *sharedLeaseStore) removeClaim(ctx context.Context, mod store.Revision) (bool, error) {
	res, err := o.session.batcher.Swap(ctx, store.Swap{Key: o.holderKey, Expect: mod, Delete: true})
	if err != nil {
		return false, err
	}
	if res.Unknown && (res.Current.Key == "" || res.Current.Mod == mod) {
		return false, nil
	}
	o.removedRevision = mod
	return true, nil
}

func (o *sharedLeaseStore) grant(context.Context) Event {
	o.renewedAt = o.lease.lastRenewal()
	return Granted{Lease: o.lease.id, Sent: o.renewedAt}
}

func (o *sharedLeaseStore) swap(ctx context.Context, s store.Swap) (bool, error) {
	isClaim := s.Key == o.holderKey
	o.claimPending = o.claimPending || isClaim
	res, err := o.session.batcher.Swap(ctx, s)
	if err != nil {
		o.claimPending = o.claimPending && !isClaim
		return false, err
	}
	o.minRevision = max(o.minRevision, res.Current.Mod)
	if isClaim && res.Swapped {
		o.claimRevision = res.Current.Mod
	}
	if isClaim && !res.Unknown {
		o.claimPending = false
	}
	return res.Swapped, nil
}

// read returns the key from the watch cache, as of the last own write or later, and
// falls back to the store.
func (o *sharedLeaseStore) read(ctx context.Context, key string) (store.KeyValue, bool, error) {
	shortCtx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	kv, ok, err := o.lease.cache.awaitKey(shortCtx, key, o.minRevision)
	if err == nil {
		return kv, ok, nil
	}
	return o.session.opts.Store.Get(ctx, key)
}

// verify rewrites the Session's key to prove a new claim. For a claim verified before,
// the Session's last renewal has proved it, and only a change shown by the watch can
// refute it.
func (o *sharedLeaseStore) verify(ctx context.Context, claim []byte, held bool) Event {
	if held {
		kv, ok, ready, _ := o.lease.cache.get(o.holderKey, o.claimRevision)
		return Verified{Owned: !ready || ok && bytes.Equal(kv.Value, claim)}
	}
	if err := o.lease.awaitKeyWrite(ctx); err != nil {
		return failedEvent(err)
	}
	kv, ok, err := o.read(ctx, o.holderKey)
	if err != nil {
		return failedEvent(err)
	}
	return Verified{Owned: ok && bytes.Equal(kv.Value, claim)}
}

func (o *sharedLeaseStore) renew(ctx context.Context, _ store.LeaseID) Event {
	sent, err := o.lease.awaitRenewal(ctx, o.renewedAt)
	if err != nil {
		return failedEvent(err)
	}
	o.renewedAt = sent
	return Renewed{Sent: sent}
}

func (o *sharedLeaseStore) release(_ store.LeaseID, _ []byte, final bool) {
	select {
	case <-o.lease.lost:
		return // the holder key was deleted with the lease
	default:
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.session.opts.TTL)
	defer cancel()
	unresolved := o.claimPending
	if o.claimRevision != 0 {
		deleted, _ := o.removeClaim(ctx, o.claimRevision)
		unresolved = unresolved || !deleted
	}
	if unresolved && final {
		o.lease.abort(errClaimUnresolved)
	}
}

func (o *sharedLeaseStore) lost() <-chan struct{} {
	if o.lease == nil {
		return nil
	}
	return o.lease.lost
}
