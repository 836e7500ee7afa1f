package admission

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal.
const (
	// Deadline: it could not be answered in time.
	Deadline Reason = iota + 1
	// Overload: congestion lasts, and it would wait longer than the target
	// sojourn time, or the queue is full.
	Overload
	// Draining: the target leaves.
	Draining
	// TooMany: the client account has too many requests queued.
	TooMany
)

var reasonNames = [...]string{"none", "deadline", "overload", "draining", "too many"}

func (r Reason) String() string { return reasonNames[r] }
