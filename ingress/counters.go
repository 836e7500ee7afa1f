package ingress

import "sync/atomic"

// Counters count what a Server holds now, the bounds of that, and what it has refused since its start.
// The metrics endpoint derives metric names from the field names.
type Counters struct {
	// Connections and RequestBytes are what clients hold now; the others are their bounds.
	Connections, MaxConnections, RequestBytes, MaxRequestBytes atomic.Int64
	// ConnectionsRefused counts connections that were closed at once, ConnectionsEvicted those that
	// were closed to make room for others.
	ConnectionsRefused, ConnectionsEvicted atomic.Int64
	// Overloaded counts requests that were refused, or whose connection was closed, because there was
	// no room for them.
	Overloaded atomic.Int64
}
