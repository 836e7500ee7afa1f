package lease

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrasshub/eelgrasshub/store"
)

var (
	// errLapsed: no renewal was verified in time.
	errLapsed = eris.New("lease may have lapsed")
	// errReplaced: the Session's key is not as the Session wrote it.
	errReplaced = eris.New("session's key lost or replaced")
	// errDoubt: a claim's end could not be made sure of in another way.
	errDoubt = eris.New("claim of unknown outcome given up for good")
)

// term is the life of one lease of a Session.
//
// A renewal proves that the lease lives, and not that the keys under it do: a
// store restored from a backup may have the lease and not the holder keys. So a
// term has a key of its own, which is written anew after each claim and read after
// each renewal. Found as written last, it proves that the store's history holds
// that write and all before it, the claims included. One read so stands for those
// of all holder keys. What happens to a single holder key after its claim, as when
// an operator deletes it, is told by the view.
type term struct {
	s     *Session
	lease store.LeaseID
	key   string
	view  *view
	lost  chan struct{} // closed when the lease is lost
	poke  chan struct{} // a seal is wanted
	fail  chan error

	mu      sync.Mutex
	sent    time.Duration // when the last verified renewal was sent
	want    uint64        // seals asked for
	sealed  uint64        // of them, made
	mod     store.Revision
	values  [][]byte      // of the key: as known, and as it may have been written since
	changed chan struct{} // closed and replaced when sent or sealed change
}

func newTerm(s *Session, id store.LeaseID, sent time.Duration) *term {
	return &term{
		s:       s,
		lease:   id,
		key:     sessionKey(s.opts.Domain, strconv.FormatInt(int64(id), 16)),
		view:    newView(),
		lost:    make(chan struct{}),
		poke:    make(chan struct{}, 1),
		fail:    make(chan error, 1),
		sent:    sent,
		changed: make(chan struct{}),
	}
}

// run keeps the term until its lease is lost or ctx ends, and says why.
func (t *term) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.keep(ctx) })
	group.Go(func() error { return t.seals(ctx) })
	group.Go(func() error { return t.follow(ctx) })
	group.Go(func() error {
		select {
		case err := <-t.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return group.Wait()
}

// giveUp ends the term.
func (t *term) giveUp(err error) {
	select {
	case t.fail <- err:
	default:
	}
}

// keep renews the lease.
func (t *term) keep(ctx context.Context) error {
	ttl := t.s.opts.TTL
	pause := ttl / renewShare
	for {
		rest(ctx, min(pause, max(0, t.until()-t.s.opts.Clock())))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := t.renew(ctx)
		switch {
		case eris.Is(err, store.ErrLeaseNotFound), eris.Is(err, errReplaced):
			return err
		case t.s.opts.Clock() >= t.until():
			return errLapsed
		case err != nil:
			pause = ttl / retryShare
		default:
			pause = ttl / renewShare
		}
	}
}

func (t *term) renew(ctx context.Context) error {
	sent := t.s.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, t.until()-sent)
	defer cancel()
	if _, err := t.s.opts.Store.Renew(ctx, t.lease); err != nil {
		return err
	}
	kv, ok, err := t.s.opts.Store.Get(ctx, t.key)
	if err != nil {
		return err
	}
	if !ok || !t.wrote(kv.Value) {
		return errReplaced
	}
	t.update(func() { t.sent = max(t.sent, sent) })
	return nil
}

func (t *term) wrote(value []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.values {
		if bytes.Equal(v, value) {
			return true
		}
	}
	return false
}

// until is when the lease could lapse at the earliest.
func (t *term) until() time.Duration { return usable(t.renewed(), t.s.opts.TTL) }

// renewed is when the last verified renewal was sent.
func (t *term) renewed() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

func (t *term) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	close(t.changed)
	t.changed = make(chan struct{})
}

// renewal waits for a verified renewal that was sent later than before.
func (t *term) renewal(ctx context.Context, before time.Duration) (time.Duration, error) {
	for {
		t.mu.Lock()
		sent, changed := t.sent, t.changed
		t.mu.Unlock()
		if sent > before {
			return sent, nil
		}
		if err := t.wait(ctx, changed); err != nil {
			return 0, err
		}
	}
}

// seal returns when the Session's key has been written after the call began.
func (t *term) seal(ctx context.Context) error {
	t.mu.Lock()
	t.want++
	mine := t.want
	t.mu.Unlock()
	select {
	case t.poke <- struct{}{}:
	default:
	}
	for {
		t.mu.Lock()
		done, changed := t.sealed >= mine, t.changed
		t.mu.Unlock()
		if done {
			return nil
		}
		if err := t.wait(ctx, changed); err != nil {
			return err
		}
	}
}

func (t *term) wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-t.lost:
		return store.ErrLeaseNotFound
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seals makes the seals; those asked for while one is made share the next.
func (t *term) seals(ctx context.Context) error {
	for {
		select {
		case <-t.poke:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			err := t.write(ctx)
			if err == nil {
				break
			}
			if eris.Is(err, store.ErrLeaseNotFound) || eris.Is(err, errReplaced) {
				return err
			}
			rest(ctx, t.s.opts.TTL/retryShare)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// write writes the Session's key. Only its own earlier writes may be found there:
// anything else is another store's history.
func (t *term) write(ctx context.Context) error {
	value := record{Instance: t.s.opts.Instance, Token: uuid.NewString()}.encode()
	t.mu.Lock()
	want, expect := t.want, t.mod
	t.values = append(t.values, value)
	t.mu.Unlock()
	for {
		res, err := t.s.swaps.Swap(ctx, store.Swap{Key: t.key, Expect: expect, Value: value, Lease: t.lease})
		switch {
		case err != nil:
			return err
		case res.Swapped:
			t.update(func() { t.sealed, t.mod, t.values = want, res.Current.Mod, [][]byte{value} })
			return nil
		case res.Unknown:
			return store.ErrUnavailable
		case res.Current.Mod == expect || !t.wrote(res.Current.Value):
			return errReplaced
		}
		expect = res.Current.Mod // an earlier write whose reply was lost
	}
}

// follow keeps the view.
func (t *term) follow(ctx context.Context) error {
	store, prefix := t.s.opts.Store, dutyPrefix(t.s.opts.Domain)
	for ctx.Err() == nil {
		snap, err := store.List(ctx, prefix)
		if err == nil {
			t.view.list(snap)
			_ = store.Watch(ctx, prefix, snap.At+1, t.view.deliver)
		}
		rest(ctx, pauseFirst)
	}
	return ctx.Err()
}
