package lease

import (
	"bytes"
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// sharedLeaseStore holds its duty under the lease of a Session.
//
// Giving the duty up can't revoke that lease, and so does not undo a creation of
// the holder key that is still on its way. When that arrives late, the key is
// bound to the Session's lease and nobody holds the duty: it would stay so for as
// long as the Session lives. It shows as a key under our own lease while we hold
// nothing; awaitVacant deletes it. A Holder that will not compete again has the
// Session give up its lease instead.
type sharedLeaseStore struct {
	session   *Session
	holderKey string // of the holder
	// onOccupied is told when another is found to hold the duty.
	onOccupied func()

	lease           *sessionLease
	renewedAt       time.Duration  // of the renewal taken last
	minRevision     store.Revision // of the last own swap, or what it met
	claimRevision   store.Revision // of the holder key that is ours; zero: unknown
	removedRevision store.Revision // of the holder key that we deleted last
	claimPending    bool           // a claim was sent and may take effect
}

// cacheTimeout bounds the wait for the watch to show an own write, before the store
// is asked.
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
		kv, ok, ready, changed := l.claims.get(o.holderKey, o.minRevision)
		switch {
		case ready && !ok:
			return Vacant{}
		case ready && kv.Lease == l.id && kv.Mod != o.removedRevision:
			if _, err := o.removeClaim(ctx, kv.Mod); err != nil {
				return failedEvent(err)
			}
		case ready && kv.Lease == l.id: // the watch is about to show it gone
		case ready:
			o.onOccupied()
		}
		if err := l.awaitChange(ctx, changed); err != nil {
			return failedEvent(err)
		}
	}
}

// removeClaim deletes the holder key if it is still at mod, and says whether it is
// certain that it is not any more.
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

// read takes the key from the view, as of the last own write; that is what a read
// of the store would have to show at least.
func (o *sharedLeaseStore) read(ctx context.Context, key string) (store.KeyValue, bool, error) {
	shortCtx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	kv, ok, err := o.lease.claims.awaitKey(shortCtx, key, o.minRevision)
	if err == nil {
		return kv, ok, nil
	}
	return o.session.opts.Store.Get(ctx, key)
}

// verify seals a new claim. Of a duty held, a renewal was just verified, which
// vouches for the claim; only what the view shows since can speak against it.
func (o *sharedLeaseStore) verify(ctx context.Context, claim []byte, held bool) Event {
	if held {
		kv, ok, ready, _ := o.lease.claims.get(o.holderKey, o.claimRevision)
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
		return // its keys end with it
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
