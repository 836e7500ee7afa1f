package lease

import (
	"bytes"
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// sharedTenure holds its duty under the lease of a Session.
//
// Giving the duty up can't revoke that lease, and so does not undo a creation of
// the holder key that is still on its way. When that arrives late, the key is
// bound to the Session's lease and nobody holds the duty: it would stay so for as
// long as the Session lives. It shows as a key under our own lease while we hold
// nothing; awaitVacant deletes it. A Holder that will not compete again has the
// Session give up its lease instead.
type sharedTenure struct {
	s   *Session
	key string // of the holder
	// taken is told when another is found to hold the duty.
	taken func()

	term    *term
	sent    time.Duration  // of the renewal taken last
	after   store.Revision // of the last own swap, or what it met
	claimed store.Revision // of the holder key that is ours; zero: unknown
	removed store.Revision // of the holder key that we deleted last
	pending bool           // a claim was sent and may take effect
}

// viewWait bounds the wait for the watch to show an own write, before the store
// is asked.
const viewWait = 200 * time.Millisecond

func (o *sharedTenure) awaitVacant(ctx context.Context) Event {
	l, err := o.s.current(ctx)
	if err != nil {
		return Failed{}
	}
	if l != o.term {
		o.term, o.after, o.removed = l, 0, 0
	}
	o.claimed, o.pending = 0, false
	for {
		kv, ok, ready, changed := l.view.get(o.key, o.after)
		switch {
		case ready && !ok:
			return Vacant{}
		case ready && kv.Lease == l.lease && kv.Mod != o.removed:
			if _, err := o.remove(ctx, kv.Mod); err != nil {
				return failed(err)
			}
		case ready && kv.Lease == l.lease: // the watch is about to show it gone
		case ready:
			o.taken()
		}
		if err := l.wait(ctx, changed); err != nil {
			return failed(err)
		}
	}
}

// remove deletes the holder key if it is still at mod, and says whether it is
// certain that it is not any more.
func (o *sharedTenure) remove(ctx context.Context, mod store.Revision) (bool, error) {
	res, err := o.s.swaps.Swap(ctx, store.Swap{Key: o.key, Expect: mod, Delete: true})
	if err != nil {
		return false, err
	}
	if res.Unknown && (res.Current.Key == "" || res.Current.Mod == mod) {
		return false, nil
	}
	o.removed = mod
	return true, nil
}

func (o *sharedTenure) grant(context.Context) Event {
	o.sent = o.term.renewed()
	return Granted{Lease: o.term.lease, Sent: o.sent}
}

func (o *sharedTenure) swap(ctx context.Context, s store.Swap) (bool, error) {
	isClaim := s.Key == o.key
	o.pending = o.pending || isClaim
	res, err := o.s.swaps.Swap(ctx, s)
	if err != nil {
		o.pending = o.pending && !isClaim
		return false, err
	}
	o.after = max(o.after, res.Current.Mod)
	if isClaim && res.Swapped {
		o.claimed = res.Current.Mod
	}
	if isClaim && !res.Unknown {
		o.pending = false
	}
	return res.Swapped, nil
}

// read takes the key from the view, as of the last own write; that is what a read
// of the store would have to show at least.
func (o *sharedTenure) read(ctx context.Context, key string) (store.KeyValue, bool, error) {
	shortCtx, cancel := context.WithTimeout(ctx, viewWait)
	defer cancel()
	kv, ok, err := o.term.view.await(shortCtx, key, o.after)
	if err == nil {
		return kv, ok, nil
	}
	return o.s.opts.Store.Get(ctx, key)
}

// verify seals a new claim. Of a duty held, a renewal was just verified, which
// vouches for the claim; only what the view shows since can speak against it.
func (o *sharedTenure) verify(ctx context.Context, claim []byte, held bool) Event {
	if held {
		kv, ok, ready, _ := o.term.view.get(o.key, o.claimed)
		return Verified{Owned: !ready || ok && bytes.Equal(kv.Value, claim)}
	}
	if err := o.term.seal(ctx); err != nil {
		return failed(err)
	}
	kv, ok, err := o.read(ctx, o.key)
	if err != nil {
		return failed(err)
	}
	return Verified{Owned: ok && bytes.Equal(kv.Value, claim)}
}

func (o *sharedTenure) renew(ctx context.Context, _ store.LeaseID) Event {
	sent, err := o.term.renewal(ctx, o.sent)
	if err != nil {
		return failed(err)
	}
	o.sent = sent
	return Renewed{Sent: sent}
}

func (o *sharedTenure) release(_ store.LeaseID, _ []byte, final bool) {
	select {
	case <-o.term.lost:
		return // its keys end with it
	default:
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.s.opts.TTL)
	defer cancel()
	unresolved := o.pending
	if o.claimed != 0 {
		deleted, _ := o.remove(ctx, o.claimed)
		unresolved = unresolved || !deleted
	}
	if unresolved && final {
		o.term.giveUp(errDoubt)
	}
}

func (o *sharedTenure) lost() <-chan struct{} {
	if o.term == nil {
		return nil
	}
	return o.term.lost
}
