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
	// probeEvery is for how long a probe's result is given to all who ask: the
	// store counts each call.
	probeEvery = time.Second
	// probeWait bounds one probe, well below what another entry waits for the
	// answer that it is part of.
	probeWait = time.Second
)

// storeProbe tells whether the platform's store answers this entry. The zero value
// is ready. It is safe for concurrent use.
type storeProbe struct {
	mu sync.Mutex
	at time.Time // of the last probe, by clock.Now
	ok bool
}

// answers reads one small key, at most once a second. A call that this process's
// own budget refuses says nothing against the store.
func (p *storeProbe) answers(ctx context.Context, kv store.Store, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.at.IsZero() && clock.Now().Sub(p.at) < probeEvery {
		return p.ok
	}
	// A caller that goes away must not look like an outage to the next one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeWait)
	defer cancel()
	_, _, err := kv.Get(ctx, document.StoreKey(service))
	p.at, p.ok = clock.Now(), err == nil || eris.Is(err, store.ErrRateLimited)
	return p.ok
}
