package routing

// Ticket is the permission for one attempt at one target. It is handed back to
// Done exactly once; until then it counts against the target's window.
type Ticket struct {
	Target      TargetID
	Incarnation uint64
	Trial       bool // a single attempt that decides whether an ejected target is open again

	endpoint *endpoint
	account  *accountState
	sentAt   int64 // nanoseconds
}
