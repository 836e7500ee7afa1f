package gang

// State is how far an attempt has got on one member. Later states have higher
// values, and an attempt never goes back.
type State uint8

// States of an attempt on a member.
const (
	// StateUnknown means that this incarnation of the agent does not know the
	// attempt.
	StateUnknown State = iota
	// StateReserved means that accelerators are held until the hold expires.
	StateReserved
	// StateCommitted means that accelerators are held until Start or Stop.
	StateCommitted
	// StateRunning means that the target was told to start the task.
	StateRunning
	// StateStopping means that the target was told to stop the task and has
	// not confirmed it yet.
	StateStopping
	// StateEnded means that nothing is held or runs, and nothing will.
	StateEnded
)

var stateNames = [...]string{"unknown", "reserved", "committed", "running", "stopping", "ended"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
