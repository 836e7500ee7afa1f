package attempts

// BeginResult is a Table's decision about an attempt that asks to begin.
type BeginResult uint8

// Results of Table.Begin.
const (
	// BeginRun: run the attempt, then call RecordAnswer, RecordLostAnswer or
	// RecordNotRun.
	BeginRun BeginResult = iota
	// BeginJoin: the attempt is already running; wait for its answer.
	BeginJoin
	// BeginReplay: the attempt has run; return its recorded answer.
	BeginReplay
	// BeginRefuse: the attempt did not run and never will.
	BeginRefuse
	// BeginUnknown: do not run the attempt. An earlier copy of the message may have
	// run.
	BeginUnknown
)

var beginResultNames = [...]string{"run", "join", "replay", "refuse", "unknown"}

// String returns the result in lower case.
func (v BeginResult) String() string {
	if int(v) < len(beginResultNames) {
		return beginResultNames[v]
	}
	return "invalid"
}

// Status is what a Table knows about an attempt.
type Status uint8

// Statuses of an attempt.
const (
	// StatusUnknown: the attempt may have run; there is no record of it.
	StatusUnknown Status = iota
	// StatusNotRun: the attempt did not run and never will.
	StatusNotRun
	// StatusRunning: the attempt runs or is queued at the agent.
	StatusRunning
	// StatusAnswered: the attempt ran and its whole answer is kept.
	StatusAnswered
	// StatusRan: the attempt ran or was interrupted while running, and its answer is
	// not kept.
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
