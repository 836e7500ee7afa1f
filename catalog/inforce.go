package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is the catalog in force and how long it has been known to be the newest.
type Snapshot struct {
	Catalog *Catalog
	// Raw is the operators' text that Catalog was decoded from, to be passed on.
	Raw []byte
	// ConfirmedAt is a time, on a clock that runs during suspension, at which no
	// newer version had been acknowledged to an operator.
	ConfirmedAt time.Duration
}

// Current holds the newest version, and the newest Cordons. Readers take no lock;
// writers may come from several sources (the store's watch, peers) in any order, and an
// older version never replaces a newer one.
type Current struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
	cordons  atomic.Pointer[Cordons]
	changed  chan struct{}
}

// NewCurrent returns an InForce without a version.
func NewCurrent() *Current { return &Current{changed: make(chan struct{})} }

// Snapshot returns the present view, and false before the first version is known.
func (cur *Current) Snapshot() (Snapshot, bool) {
	v := cur.snapshot.Load()
	if v == nil {
		return Snapshot{}, false
	}
	return *v, true
}

// Update takes a version that was the newest at time confirmed. It returns whether
// it is now in force for the first time.
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

// notify wakes those who wait for a change. The mutex is held.
func (cur *Current) notify() {
	close(cur.changed)
	cur.changed = make(chan struct{})
}

// Confirm says that version was still the newest at time confirmed. It has no
// effect where another version is in force.
func (cur *Current) Confirm(version int64, confirmedAt time.Duration) {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	old := cur.snapshot.Load()
	if old == nil || old.Catalog.Version != version || old.ConfirmedAt >= confirmedAt {
		return
	}
	cur.snapshot.Store(&Snapshot{Catalog: old.Catalog, Raw: old.Raw, ConfirmedAt: confirmedAt})
}

// Changed returns a channel that is closed when the next version is in force, or other zones
// are cordoned.
func (cur *Current) Changed() <-chan struct{} {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	return cur.changed
}
