package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Session keeps one lease of the store for a whole process: for the Candidates of any
// number of elections, and for keys of the caller's own. It makes two calls in each
// third of its TTL, however many Candidates it has. It is safe for concurrent use.
//
// When the lease is lost (expired, revoked by another process, or missing in a restored
// store), all Candidates end their leaderships and compete again under the next lease,
// which the Session requests by itself.
type Session struct {
	opts    SessionOptions
	batcher *store.Batcher
	tomb    tomb.Tomb

	mu      sync.Mutex
	lease   *sessionLease // nil: no lease now
	changed chan struct{} // closed and replaced when lease changes
}

// OpenSession starts a Session. Close ends it.
func OpenSession(opts SessionOptions) *Session {
	if opts.Clock == nil {
		opts.Clock = BootTime
	}
	s := &Session{
		opts:    opts,
		batcher: store.NewBatcher(opts.Store, 0),
		changed: make(chan struct{}),
	}
	s.tomb.Go(s.run)
	return s
}

// Close revokes the lease, which deletes every key bound to it, so that other processes
// can take over at once. If work has to end before that, resign the Candidates first.
// It returns when the lease is revoked, or the context's error; the lease then expires
// by itself at the latest.
func (s *Session) Close(ctx context.Context) error {
	s.tomb.Kill(nil)
	select {
	case <-s.tomb.Dead():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Lease waits until there is a lease and returns it with a channel that is closed when
// it is lost. The caller's keys that are bound to the lease are deleted with it.
func (s *Session) Lease(ctx context.Context) (store.LeaseID, <-chan struct{}, error) {
	l, err := s.awaitLease(ctx)
	if err != nil {
		return 0, nil, err
	}
	return l.id, l.lost, nil
}

// Valid reports whether the Session's lease is certainly valid now, judging by its last
// renewal.
func (s *Session) Valid() bool {
	s.mu.Lock()
	l := s.lease
	s.mu.Unlock()
	return l != nil && s.opts.Clock() < l.validUntil()
}

// awaitLease waits until there is a lease.
func (s *Session) awaitLease(ctx context.Context) (*sessionLease, error) {
	for {
		s.mu.Lock()
		l, changed := s.lease, s.changed
		s.mu.Unlock()
		if l != nil {
			return l, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.tomb.Dying():
			return nil, store.ErrLeaseNotFound
		}
	}
}

func (s *Session) setLease(l *sessionLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = l
	close(s.changed)
	s.changed = make(chan struct{})
}

// run obtains a new lease whenever one is lost, until the Session is closed.
func (s *Session) run() error {
	defer s.batcher.Close()
	ctx := s.tomb.Context(context.Background())
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = minBackOff
	retryDelay.MaxInterval = maxBackOff
	for s.tomb.Alive() {
		if s.runLease(ctx) {
			retryDelay.Reset()
		}
		sleepContext(ctx, retryDelay.NextBackOff())
	}
	return nil
}

// runLease obtains a lease and keeps it until it is lost. It reports whether a lease
// was obtained.
func (s *Session) runLease(ctx context.Context) bool {
	l, err := s.grantLease(ctx)
	if err != nil {
		return false
	}
	s.setLease(l)
	s.log("lease granted", nil)
	err = l.run(ctx)
	s.setLease(nil)
	close(l.lost)
	s.log("lease lost", err)
	s.revoke(l.id)
	return true
}

func (s *Session) grantLease(ctx context.Context) (*sessionLease, error) {
	sent := s.opts.Clock()
	id, err := s.opts.Store.Grant(ctx, s.opts.TTL)
	if err != nil {
		return nil, err
	}
	l := newSessionLease(s, id, sent)
	if err := l.writeKey(ctx); err != nil {
		s.revoke(id)
		return nil, err
	}
	return l, nil
}

// revoke continues after the Session is closed, because other candidates wait for it.
func (s *Session) revoke(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.TTL)
	defer cancel()
	_ = s.opts.Store.Revoke(ctx, id) // on failure the lease expires by itself
}

func (s *Session) log(message string, err error) {
	if s.opts.Log == nil {
		return
	}
	log := s.opts.Log.WithField("session", s.opts.Domain)
	if err != nil && s.tomb.Alive() {
		log = log.WithError(err)
	}
	log.Info(message)
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
