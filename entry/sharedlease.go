package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// jobRetention is how long the record of an ended job is kept, at least.
	jobRetention = 24 * time.Hour
	// leaseSharePeriod is how long one store lease is used for new keys. A key is thus
	// kept for between ttl and ttl + leaseSharePeriod.
	leaseSharePeriod = time.Hour
)

// sharedLease provides the store lease for keys that expire after a fixed time. A lease
// is shared by all keys written within leaseSharePeriod and never renewed, so the store
// deletes the keys without further calls. It is safe for concurrent use.
type sharedLease struct {
	store store.Store
	ttl   time.Duration

	grantGroup singleflight.Group
	mu         sync.Mutex
	id         store.LeaseID
	grantedAt  time.Time
}

func newSharedLease(kv store.Store, ttl time.Duration) *sharedLease {
	return &sharedLease{store: kv, ttl: ttl}
}

// Current returns the lease for keys written now. Concurrent callers that need a new
// lease share one call to the store; each waits no longer than its own ctx.
func (l *sharedLease) Current(ctx context.Context) (store.LeaseID, error) {
	if id, ok := l.cached(); ok {
		return id, nil
	}
	result := l.grantGroup.DoChan("grant", func() (any, error) { return l.grant() })
	select {
	case r := <-result:
		id, _ := r.Val.(store.LeaseID)
		return id, r.Err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *sharedLease) cached() (store.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && time.Since(l.grantedAt) < leaseSharePeriod
}

func (l *sharedLease) grant() (store.LeaseID, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	id, err := l.store.Grant(ctx, l.ttl+leaseSharePeriod)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.grantedAt = id, startedAt
	return id, nil
}

// Invalidate drops a lease that the store does not know, such as after a restore.
func (l *sharedLease) Invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
