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
func (l *term) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.keep(ctx) })
	group.Go(func() error { return l.seals(ctx) })
	group.Go(func() error { return l.follow(ctx) })
	group.Go(func() error {
		select {
		case err := <-l.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return group.Wait()
}

// giveUp ends the term.
func (l *term) giveUp(err error) {
	select {
	case l.fail <- err:
	default:
	}
}

// keep renews the lease.
func (l *term) keep(ctx context.Context) error {
	ttl := l.s.opts.TTL
	delay := ttl / renewShare
	for {
		rest(ctx, min(delay, max(0, l.until()-l.s.opts.Clock())))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := l.renew(ctx)
		switch {
		case eris.Is(err, store.ErrLeaseNotFound), eris.Is(err, errReplaced):
			return err
		case l.s.opts.Clock() >= l.until():
			return errLapsed
		case err != nil:
			delay = ttl / retryShare
		default:
			delay = ttl / renewShare
		}
	}
}

func (l *term) renew(ctx context.Context) error {
	sent := l.s.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, l.until()-sent)
	defer cancel()
	if _, err := l.s.opts.Store.Renew(ctx, l.lease); err != nil {
		return err
	}
	kv, ok, err := l.s.opts.Store.Get(ctx, l.key)
	if err != nil {
		return err
	}
	if !ok || !l.wrote(kv.Value) {
		return errReplaced
	}
	l.update(func() { l.sent = max(l.sent, sent) })
	return nil
}

func (l *term) wrote(value []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.values {
		if bytes.Equal(v, value) {
			return true
		}
	}
	return false
}

// until is when the lease could lapse at the earliest.
func (l *term) until() time.Duration { return usable(l.renewed(), l.s.opts.TTL) }

// renewed is when the last verified renewal was sent.
func (l *term) renewed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *term) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// renewal waits for a verified renewal that was sent later than before.
func (l *term) renewal(ctx context.Context, previous time.Duration) (time.Duration, error) {
	for {
		l.mu.Lock()
		sent, changed := l.sent, l.changed
		l.mu.Unlock()
		if sent > previous {
			return sent, nil
		}
		if err := l.wait(ctx, changed); err != nil {
			return 0, err
		}
	}
}

// seal returns when the Session's key has been written after the call began.
func (l *term) seal(ctx context.Context) error {
	l.mu.Lock()
	l.want++
	request := l.want
	l.mu.Unlock()
	select {
	case l.poke <- struct{}{}:
	default:
	}
	for {
		l.mu.Lock()
		done, changed := l.sealed >= request, l.changed
		l.mu.Unlock()
		if done {
			return nil
		}
		if err := l.wait(ctx, changed); err != nil {
			return err
		}
	}
}

func (l *term) wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-l.lost:
		return store.ErrLeaseNotFound
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seals makes the seals; those asked for while one is made share the next.
func (l *term) seals(ctx context.Context) error {
	for {
		select {
		case <-l.poke:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			err := l.write(ctx)
			if err == nil {
				break
			}
			if eris.Is(err, store.ErrLeaseNotFound) || eris.Is(err, errReplaced) {
				return err
			}
			rest(ctx, l.s.opts.TTL/retryShare)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// write writes the Session's key. Only its own earlier writes may be found there:
// anything else is another store's history.
func (l *term) write(ctx context.Context) error {
	value := record{Instance: l.s.opts.Instance, Token: uuid.NewString()}.encode()
	l.mu.Lock()
	requested, expectRevision := l.want, l.mod
	l.values = append(l.values, value)
	l.mu.Unlock()
	for {
		res, err := l.s.swaps.Swap(ctx, store.Swap{Key: l.key, Expect: expectRevision, Value: value, Lease: l.lease})
		switch {
		case err != nil:
			return err
		case res.Swapped:
			l.update(func() { l.sealed, l.mod, l.values = requested, res.Current.Mod, [][]byte{value} })
			return nil
		case res.Unknown:
			return store.ErrUnavailable
		case res.Current.Mod == expectRevision || !l.wrote(res.Current.Value):
			return errReplaced
		}
		expectRevision = res.Current.Mod // an earlier write whose reply was lost
	}
}

// follow keeps the view.
func (l *term) follow(ctx context.Context) error {
	store, prefix := l.s.opts.Store, dutyPrefix(l.s.opts.Domain)
	for ctx.Err() == nil {
		snap, err := store.List(ctx, prefix)
		if err == nil {
			l.view.list(snap)
			_ = store.Watch(ctx, prefix, snap.At+1, l.view.deliver)
		}
		rest(ctx, pauseFirst)
	}
	return ctx.Err()
}
