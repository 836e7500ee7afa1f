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
	// errExpired: no renewal was verified in time.
	errExpired = eris.New("lease may have expired: no renewal verified in time")
	// errKeyReplaced: the Session's key does not have a value that the Session wrote.
	errKeyReplaced = eris.New("session key missing or replaced in the store")
	// errClaimUnresolved: a resigned Candidate's claim may still take effect, which
	// only the end of the lease can prevent.
	errClaimUnresolved = eris.New("lease given up: outcome of a resigned candidate's claim unknown")
)

// sessionLease keeps one lease of a Session until it is lost.
//
// A renewal does not prove that the keys of the lease exist: a store restored from a
// backup may have the lease without the holder keys. The sessionLease therefore rewrites
// a key of its own after each claim and reads it after each renewal: finding the last
// value proves that the store still has all earlier writes. The watch detects later
// changes of a holder key, such as a deletion by an operator.
type sessionLease struct {
	session        *Session
	id             store.LeaseID
	key            string
	cache          *watchCache
	lost           chan struct{} // closed when the lease is lost
	writeRequested chan struct{}
	aborted        chan error

	mu              sync.Mutex
	renewedAt       time.Duration // when the last verified renewal was sent
	requestedWrites uint64        // number of the last requested write of key
	completedWrites uint64        // highest request covered by a completed write
	keyRevision     store.Revision
	possibleValues  [][]byte      // of key: the last known one and those written since with unknown outcome
	changed         chan struct{} // closed and replaced when renewedAt or completedWrites changes
}

func newSessionLease(s *Session, id store.LeaseID, sent time.Duration) *sessionLease {
	return &sessionLease{
		session:        s,
		id:             id,
		key:            sessionKey(s.opts.Domain, strconv.FormatInt(int64(id), 16)),
		cache:          newWatchCache(),
		lost:           make(chan struct{}),
		writeRequested: make(chan struct{}, 1),
		aborted:        make(chan error, 1),
		renewedAt:      sent,
		changed:        make(chan struct{}),
	}
}

// run maintains the lease until it is lost or ctx ends, and returns the reason.
func (l *sessionLease) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.renewLoop(ctx) })
	group.Go(func() error { return l.writeLoop(ctx) })
	group.Go(func() error { return l.watchLoop(ctx) })
	group.Go(func() error {
		select {
		case err := <-l.aborted:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return group.Wait()
}

// abort makes run return with err.
func (l *sessionLease) abort(err error) {
	select {
	case l.aborted <- err:
	default:
	}
}

// renewLoop renews the lease until it is lost.
func (l *sessionLease) renewLoop(ctx context.Context) error {
	ttl := l.session.opts.TTL
	delay := ttl / renewDivisor
	for {
		sleepContext(ctx, min(delay, max(0, l.validUntil()-l.session.opts.Clock())))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := l.renew(ctx)
		switch {
		case eris.Is(err, store.ErrLeaseNotFound), eris.Is(err, errKeyReplaced):
			return err
		case l.session.opts.Clock() >= l.validUntil():
			return errExpired
		case err != nil:
			delay = ttl / retryDivisor
		default:
			delay = ttl / renewDivisor
		}
	}
}

func (l *sessionLease) renew(ctx context.Context) error {
	sent := l.session.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, l.validUntil()-sent)
	defer cancel()
	if _, err := l.session.opts.Store.Renew(ctx, l.id); err != nil {
		return err
	}
	kv, ok, err := l.session.opts.Store.Get(ctx, l.key)
	if err != nil {
		return err
	}
	if !ok || !l.wroteValue(kv.Value) {
		return errKeyReplaced
	}
	l.update(func() { l.renewedAt = max(l.renewedAt, sent) })
	return nil
}

func (l *sessionLease) wroteValue(value []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.possibleValues {
		if bytes.Equal(v, value) {
			return true
		}
	}
	return false
}

// validUntil returns the earliest time at which the lease could expire.
func (l *sessionLease) validUntil() time.Duration {
	return leaseValidUntil(l.lastRenewal(), l.session.opts.TTL)
}

// lastRenewal returns when the last verified renewal was sent.
func (l *sessionLease) lastRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

func (l *sessionLease) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// awaitRenewal waits for a verified renewal that was sent after previous, and returns
// when it was sent.
func (l *sessionLease) awaitRenewal(ctx context.Context, previous time.Duration) (time.Duration, error) {
	for {
		l.mu.Lock()
		sent, changed := l.renewedAt, l.changed
		l.mu.Unlock()
		if sent > previous {
			return sent, nil
		}
		if err := l.awaitChange(ctx, changed); err != nil {
			return 0, err
		}
	}
}

// awaitKeyWrite requests a write of the Session's key and returns when one that began
// after the call has completed.
func (l *sessionLease) awaitKeyWrite(ctx context.Context) error {
	l.mu.Lock()
	l.requestedWrites++
	request := l.requestedWrites
	l.mu.Unlock()
	select {
	case l.writeRequested <- struct{}{}:
	default:
	}
	for {
		l.mu.Lock()
		done, changed := l.completedWrites >= request, l.changed
		l.mu.Unlock()
		if done {
			return nil
		}
		if err := l.awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

func (l *sessionLease) awaitChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-l.lost:
		return store.ErrLeaseNotFound
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeLoop writes the Session's key on request. Requests that arrive during a write
// share the next one.
func (l *sessionLease) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-l.writeRequested:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			err := l.writeKey(ctx)
			if err == nil {
				break
			}
			if eris.Is(err, store.ErrLeaseNotFound) || eris.Is(err, errKeyReplaced) {
				return err
			}
			sleepContext(ctx, l.session.opts.TTL/retryDivisor)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// writeKey writes the Session's key. If the key has a value that this process never
// wrote, the store has lost history, and the lease is abandoned.
func (l *sessionLease) writeKey(ctx context.Context) error {
	value := record{Instance: l.session.opts.Instance, Token: uuid.NewString()}.encode()
	l.mu.Lock()
	requested, expectRevision := l.requestedWrites, l.keyRevision
	l.possibleValues = append(l.possibleValues, value)
	l.mu.Unlock()
	for {
		res, err := l.session.batcher.Swap(ctx, store.Swap{Key: l.key, Expect: expectRevision, Value: value, Lease: l.id})
		switch {
		case err != nil:
			return err
		case res.Swapped:
			l.update(func() {
				l.completedWrites, l.keyRevision, l.possibleValues = requested, res.Current.Mod, [][]byte{value}
			})
			return nil
		case res.Unknown:
			return store.ErrUnavailable
		case res.Current.Mod == expectRevision || !l.wroteValue(res.Current.Value):
			return errKeyReplaced
		}
		expectRevision = res.Current.Mod // an earlier write whose reply was lost
	}
}

// watchLoop keeps the cache of holder and epoch keys current.
func (l *sessionLease) watchLoop(ctx context.Context) error {
	store, prefix := l.session.opts.Store, electionPrefix(l.session.opts.Domain)
	for ctx.Err() == nil {
		snap, err := store.List(ctx, prefix)
		if err == nil {
			l.cache.reset(snap)
			_ = store.Watch(ctx, prefix, snap.At+1, l.cache.apply)
		}
		sleepContext(ctx, minBackOff)
	}
	return ctx.Err()
}
