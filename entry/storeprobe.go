package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// storeProbeInterval is how long a result is shared by all callers, since calls to
	// the store are limited.
	storeProbeInterval = time.Second
	// storeProbeTimeout limits one probe. It is well below the time that another entry
	// waits for an answer that includes the probe.
	storeProbeTimeout = time.Second
)

// storeProbe checks whether the platform's store answers this entry. Its zero value is
// ready to use. It is safe for concurrent use.
type storeProbe struct {
	mu        sync.Mutex
	probedAt  time.Time // of the last probe, by clock.Now
	available bool
}

// check reads one small key, unless the last result is still valid. A call refused by
// this entry's own rate limit counts as available.
func (p *storeProbe) check(ctx context.Context, kv store.Store, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probedAt.IsZero() && clock.Now().Sub(p.probedAt) < storeProbeInterval {
		return p.available
	}
	// Detached from the caller's cancellation, which would look like an outage to the
	// next caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeProbeTimeout)
	defer cancel()
	_, _, err := kv.Get(ctx, document.StoreKey(service))
	p.probedAt, p.available = clock.Now(), err == nil || eris.Is(err, store.ErrRateLimited)
	return p.available
}
