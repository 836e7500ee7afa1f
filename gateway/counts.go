package gateway

import "sync/atomic"

// Counts count what a gateway did since its start.
type Counts struct {
	Accepted, AcceptUnknown, Refused, Cancelled, Lookups, LookupsFailed atomic.Int64
	Relayed, Reports, Orders, Writes, WriteFailures, Terms              atomic.Int64
}
