package catalog

import (
	"slices"
	"time"
)

// Cordons are the availability zones in which nothing new may be started. What runs there
// goes on.
type Cordons struct {
	Zones []string // sorted
	// Revision is the store's up to which they are known; of two Cordons, that with the
	// higher one is newer.
	Revision int64
	// ConfirmedAt is a time, on a clock that runs during suspension, at which no newer ones
	// had been acknowledged to an operator.
	ConfirmedAt time.Duration
}

// Contains says whether a zone is cordoned.
func (c Cordons) Contains(zone string) bool {
	_, found := slices.BinarySearch(c.Zones, zone)
	return found
}

// Cordons returns the present ones, and false before they are known.
func (cur *Current) Cordons() (Cordons, bool) {
	c := cur.cordons.Load()
	if c == nil {
		return Cordons{}, false
	}
	return *c, true
}

// UpdateCordons takes the cordons as they were at c.ConfirmedAt. Older ones than those known
// have no effect. The caller does not change c.Zones any more.
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
