package gang

// Refusal is why a member did not do what a message asked for.
type Refusal uint8

// Refusals sent in replies.
const (
	// Accepted means that the message was not refused.
	Accepted Refusal = iota
	// Busy means that an accelerator is in use by another attempt.
	Busy
	// Draining means that the agent is leaving and takes no new work.
	Draining
	// StaleEpoch means that the member has heard from a planner with a higher
	// epoch.
	StaleEpoch
	// WrongIncarnation means that the message was for another incarnation.
	WrongIncarnation
	// NotReady means that the agent does not know yet which tasks its target
	// runs.
	NotReady
	// AlreadyEnded means that the attempt has ended on this member.
	AlreadyEnded
	// Forgotten means that the member no longer remembers attempts as old as
	// this one, so that nothing can be concluded about it.
	Forgotten
	// Invalid means that the message is not valid in this state or for this
	// worker.
	Invalid
)

var refusalNames = [...]string{
	"accepted", "busy", "draining", "stale epoch", "wrong incarnation",
	"not ready", "sealed", "forgotten", "invalid",
}

// String returns the refusal in lower case.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "invalid"
}
