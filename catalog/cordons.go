package catalog

import (
	"slices"
	"time"
)

// Cordons are the availability zones in which no new tasks may be started. Tasks that run
// there continue.
type Cordons struct {
	Zones []string // sorted
	// Revision is the store revision at which Zones was read. Of two Cordons, the one with
	// the higher revision is newer.
	Revision int64
	// ConfirmedAt is a time at which no newer Cordons had been acknowledged to an operator,
	// on a clock that includes time spent in suspension.
	ConfirmedAt time.Duration
}

// Contains reports whether a zone is cordoned.
func (c Cordons) Contains(zone string) bool {
	_, found := slices.BinarySearch(c.Zones, zone)
	return found
}

// Cordons returns the newest known cordons, and false before any are known.
func (cur *Current) Cordons() (Cordons, bool) {
	c := cur.cordons.Load()
	if c == nil {
		return Cordons{}, false
	}
	return *c, true
}

// UpdateCordons replaces the known cordons by c unless c is older. The caller must not modify
// c.Zones afterwards.
func (cur *Current) UpdateCordons(c Cordons) {
	cur.mu.Lock()
	defer cur.mu.Unlock()
	old := cur.cordons.Load()
	if old != nil {
		if c.Revision < old.Revision {
			return
		}
		c.ConfirmedAt = max(c.ConfirmedAt, old.ConfirmedAt)
	}
	cur.cordons.Store(&c)
	if old == nil || !slices.Equal(c.Zones, old.Zones) {
		cur.notify()
	}
}
