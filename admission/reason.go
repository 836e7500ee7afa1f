package admission

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal.
const (
	// ReasonDeadline: it could not be answered in time.
	ReasonDeadline Reason = iota + 1
	// ReasonOverload: congestion lasts, and it would wait longer than the target
	// sojourn time, or the queue is full.
	ReasonOverload
	// ReasonDraining: the target leaves.
	ReasonDraining
	// ReasonAccountQueueFull: the client account has too many requests queued.
	ReasonAccountQueueFull
)

var reasonNames = [...]string{"none", "deadline", "overload", "draining", "too many"}

func (r Reason) String() string { return reasonNames[r] }
