package store

import "sync/atomic"

// CallCounts holds the number of HTTP calls made by a Client, by kind. Each attempt
// counts; a watch counts once per connection.
type CallCounts struct {
	Get      int64 // reads of one key, including those made to resolve a lost reply
	List     int64
	Commit   int64
	Grant    int64
	Renew    int64
	Revoke   int64
	Watch    int64
	Swaps    int64 // swaps carried by the Commit calls
	ReadBack int64 // Get and Commit calls made to resolve a lost reply
	Lost     int64 // writes whose reply was lost
	Refused  int64 // calls not made because of the rate limit; not included in other counts
}

// Total returns the number of calls made.
func (c CallCounts) Total() int64 {
	return c.Get + c.List + c.Commit + c.Grant + c.Renew + c.Revoke + c.Watch
}

// counters holds the CallCounts that are being updated.
type counters struct {
	get, list, commit, grant, renew, revoke, watch atomic.Int64
	swaps, readBack, lost, refused                 atomic.Int64
}

func (c *counters) snapshot() CallCounts {
	return CallCounts{
		Get:      c.get.Load(),
		List:     c.list.Load(),
		Commit:   c.commit.Load(),
		Grant:    c.grant.Load(),
		Renew:    c.renew.Load(),
		Revoke:   c.revoke.Load(),
		Watch:    c.watch.Load(),
		Swaps:    c.swaps.Load(),
		ReadBack: c.readBack.Load(),
		Lost:     c.lost.Load(),
		Refused:  c.refused.Load(),
	}
}
