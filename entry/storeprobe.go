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
	// storeProbeInterval is for how long a probe's result is given to all who ask: the
	// store counts each call.
	storeProbeInterval = time.Second
	// storeProbeTimeout bounds one probe, well below what another entry waits for the
	// answer that it is part of.
	storeProbeTimeout = time.Second
)

// storeProbe tells whether the platform's store answers this entry. The zero value
// is ready. It is safe for concurrent use.
type storeProbe struct {
	mu        sync.Mutex
	probedAt  time.Time // of the last probe, by clock.Now
	available bool
}

// check reads one small key, at most once a second. A call that this process's
// own budget refuses says nothing against the store.
func (p *storeProbe) check(ctx context.Context, kv store.Store, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probedAt.IsZero() && clock.Now().Sub(p.probedAt) < storeProbeInterval {
		return p.available
	}
	// A caller that goes away must not look like an outage to the next one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeProbeTimeout)
	defer cancel()
	_, _, err := kv.Get(ctx, document.StoreKey(service))
	p.probedAt, p.available = clock.Now(), err == nil || eris.Is(err, store.ErrBudget)
	return p.available
}
