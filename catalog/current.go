package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is a catalog and the time up to which it is known to be the newest.
type Snapshot struct {
	Catalog *Catalog
	// Raw is the encoded form that Catalog was decoded from, kept for forwarding.
	Raw []byte
	// ConfirmedAt is a time at which no newer version had been acknowledged to an operator,
	// on a clock that includes time spent in suspension.
	ConfirmedAt time.Duration
}

// Current holds the newest known Catalog and Cordons. Snapshot and Cordons take no lock.
// Updates may come from several sources (a watch of the store, peers) in any order; an older
// version never replaces a newer one.
type Current struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
	cordons  atomic.Pointer[Cordons]
	changed  chan struct{}
}

// NewCurrent returns a Current without a catalog.
func NewCurrent() *Current { return &Current{changed: make(chan struct{})} }

// Snapshot returns the newest known catalog, and false before the first one is known.
func (cur *Current) Snapshot() (Snapshot, bool) {
	v := cur.snapshot.Load()
	if v == nil {
		return Snapshot{}, false
	}
	return *v, true
}

// Update offers a version that was the newest at confirmedAt. It reports whether the version
// replaced an older one or is the first.
func (cur *Current) Update(c *Catalog, raw []byte, confirmedAt time.Duration) bool {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	old := cur.snapshot.Load()
	if old != nil && c.Version < old.Catalog.Version {
		return false
	}
	next := &Snapshot{Catalog: c, Raw: raw, ConfirmedAt: confirmedAt}
	isNewer := old == nil || c.Version > old.Catalog.Version
	if !isNewer {
		next.Catalog, next.Raw = old.Catalog, old.Raw
		next.ConfirmedAt = max(confirmedAt, old.ConfirmedAt)
	}
	cur.snapshot.Store(next)
	if isNewer {
		cur.notify()
	}
	return isNewer
}

// notify wakes all receivers of Changed. The mutex must be held.
func (cur *Current) notify() {
	close(cur.changed)
	cur.changed = make(chan struct{})
}

// Confirm records that version was still the newest at confirmedAt. It has no effect if a
// different version is current.
func (cur *Current) Confirm(version int64, confirmedAt time.Duration) {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	old := cur.snapshot.Load()
	if old == nil || old.Catalog.Version != version || old.ConfirmedAt >= confirmedAt {
		return
	}
	cur.snapshot.Store(&Snapshot{Catalog: old.Catalog, Raw: old.Raw, ConfirmedAt: confirmedAt})
}

// Changed returns a channel that is closed at the next change of the catalog version or of
// the cordoned zones.
func (cur *Current) Changed() <-chan struct{} {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	return cur.changed
}
