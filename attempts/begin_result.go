package attempts

// BeginResult is what a Table decides about an attempt that asks to begin.
type BeginResult uint8

// Verdicts on an attempt.
const (
	// BeginRun: run it, then call Finish, Interrupt or Refuse.
	BeginRun BeginResult = iota
	// BeginJoin: it already runs; wait for the same answer.
	BeginJoin
	// BeginReplay: it has run; the answer is given again.
	BeginReplay
	// BeginRefuse: it did not run and will not; the reason says why.
	BeginRefuse
	// BeginUnknown: it is not run now, but whether an earlier copy of the message
	// ran is not known.
	BeginUnknown
)

var beginResultNames = [...]string{"fresh", "joined", "repeated", "refused", "unprovable"}

// String returns the verdict in lower case.
func (v BeginResult) String() string {
	if int(v) < len(beginResultNames) {
		return beginResultNames[v]
	}
	return "invalid"
}

// Status is what a Table knows of an attempt.
type Status uint8

// Statuses of an attempt.
const (
	// StatusUnknown: it may have run; the account of it is gone.
	StatusUnknown Status = iota
	// StatusNotRun: it has not run and will not.
	StatusNotRun
	// StatusRunning: it runs, or waits at the agent for its turn.
	StatusRunning
	// StatusAnswered: it ran and the whole answer is at hand.
	StatusAnswered
	// StatusRan: it ran, or was interrupted while it did, and the answer is not
	// at hand.
	StatusRan
)

var statusNames = [...]string{"unknown", "not run", "running", "answered", "ran"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}
