package gateway

import "sync/atomic"

// Counters count events since the start of the gateway. The metrics endpoint derives metric
// names from the field names.
type Counters struct {
	Accepted, AcceptUnknown, Refused, Cancelled, Lookups, LookupsFailed atomic.Int64
	Relayed, Reports, Orders, Writes, WriteFailures, Terms              atomic.Int64
	// ReportsOutdated counts reports that were ignored because a newer one of the same agent had
	// been handled before.
	ReportsOutdated atomic.Int64
	// PeerQueries and LivenessQueries count queries sent to other gateways.
	PeerQueries, LivenessQueries atomic.Int64
	// GatewaysLive is the current number of other gateways that this one has heard from lately.
	GatewaysLive atomic.Int64
	// StartsWithheld counts starts that were not sent because the cordons were too old.
	StartsWithheld atomic.Int64
	// StartsUnsent counts starts that were not sent because the agent did not answer before.
	StartsUnsent atomic.Int64
	// AdviceRequests counts requests to the advice service, AdviceFailures those without an answer.
	AdviceRequests, AdviceFailures atomic.Int64
	// ZonesCordoned is the current number of cordoned zones.
	ZonesCordoned atomic.Int64
}
