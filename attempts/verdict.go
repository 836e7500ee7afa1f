package attempts

// Verdict is what a Table decides about an attempt that asks to begin.
type Verdict uint8

// Verdicts on an attempt.
const (
	// Fresh: run it, then call Finish, Interrupt or Refuse.
	Fresh Verdict = iota
	// Joined: it already runs; wait for the same answer.
	Joined
	// Repeated: it has run; the answer is given again.
	Repeated
	// Refused: it did not run and will not; the reason says why.
	Refused
	// Unprovable: it is not run now, but whether an earlier copy of the message
	// ran is not known.
	Unprovable
)

var verdictNames = [...]string{"fresh", "joined", "repeated", "refused", "unprovable"}

// String returns the verdict in lower case.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
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
