package routing

// Ticket permits one attempt at one target. Until it is passed to Done, the attempt
// counts against the target's window.
type Ticket struct {
	Target      TargetID
	Incarnation uint64
	Trial       bool // a single attempt that decides whether an ejected target becomes available

	endpoint *endpoint
	account  *accountState
	sentAt   int64 // Unix nanoseconds
}
