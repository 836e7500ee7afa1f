package admission

// Reason is why a request was refused.
type Reason int

// Reasons of a Refuse.
const (
	// ReasonDeadline: the request can't be answered before its deadline.
	ReasonDeadline Reason = iota + 1
	// ReasonOverload: the queue is full, or in lasting congestion and the request
	// would wait longer than the target sojourn time.
	ReasonOverload
	// ReasonDraining: the target is leaving and accepts no new requests.
	ReasonDraining
	// ReasonAccountQueueFull: the client account has too many requests queued.
	ReasonAccountQueueFull
)

var reasonNames = [...]string{"none", "deadline", "overload", "draining", "too many"}

// String returns the reason in lower case.
func (r Reason) String() string { return reasonNames[r] }
