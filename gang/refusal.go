package gang

// Refusal says why a member did not do what a message asked.
type Refusal uint8

// Reasons of a member to refuse.
const (
	// Accepted: not refused.
	Accepted Refusal = iota
	// Busy: an accelerator is in another attempt.
	Busy
	// Draining: the agent is leaving and takes no new work.
	Draining
	// StaleEpoch: a planner with a higher epoch has already spoken.
	StaleEpoch
	// WrongIncarnation: the message was for an earlier incarnation.
	WrongIncarnation
	// NotReady: the agent has not yet learnt what its target runs.
	NotReady
	// AlreadyEnded: the attempt has ended on this member.
	AlreadyEnded
	// Forgotten: the attempt is older than what the member remembers, so that
	// nothing can be said about it.
	Forgotten
	// Invalid: the message makes no sense at this stage or for this worker.
	Invalid
)

var refusalNames = [...]string{
	"accepted", "busy", "draining", "stale epoch", "wrong incarnation",
	"not ready", "sealed", "forgotten", "invalid",
}

// String returns the reason in lower case.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "invalid"
}
