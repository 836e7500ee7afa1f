package gateway

import "sync/atomic"

// Counters count what a gateway did since its start.
type Counters struct {
	Accepted, AcceptUnknown, Refused, Cancelled, Lookups, LookupsFailed atomic.Int64
	Relayed, Reports, Orders, Writes, WriteFailures, Terms              atomic.Int64
	// StartsWithheld are orders that did not leave since the cordons known were too old.
	StartsWithheld atomic.Int64
	// ZonesCordoned is how many zones are cordoned now.
	ZonesCordoned atomic.Int64
}
