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
func (f *Current) Snapshot() (Snapshot, bool) {
	v := f.snapshot.Load()
	if v == nil {
		return Snapshot{}, false
	}
	return *v, true
}

// Update takes a version that was the newest at time confirmed. It returns whether
// it is now in force for the first time.
func (f *Current) Update(c *Catalog, raw []byte, confirmed time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old != nil && c.Version < old.Catalog.Version {
		return false
	}
	next := &Snapshot{Catalog: c, Raw: raw, ConfirmedAt: confirmed}
	fresh := old == nil || c.Version > old.Catalog.Version
	if !fresh {
		next.Catalog, next.Raw = old.Catalog, old.Raw
		next.ConfirmedAt = max(confirmed, old.ConfirmedAt)
	}
	f.snapshot.Store(next)
	if fresh {
		f.notify()
	}
	return fresh
}

// notify wakes those who wait for a change. The mutex is held.
func (f *Current) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Confirm says that version was still the newest at time confirmed. It has no
// effect where another version is in force.
func (f *Current) Confirm(version int64, confirmed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	if old == nil || old.Catalog.Version != version || old.ConfirmedAt >= confirmed {
		return
	}
	f.snapshot.Store(&Snapshot{Catalog: old.Catalog, Raw: old.Raw, ConfirmedAt: confirmed})
}

// Changed returns a channel that is closed when the next version is in force, or other zones
// are cordoned.
func (f *Current) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
