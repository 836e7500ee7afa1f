package gang

// State is how far an attempt has got on one member. Later states are larger,
// and an attempt never goes back.
type State uint8

// States of an attempt on a member.
const (
	// StateUnknown: this incarnation of the agent has no account of the attempt.
	StateUnknown State = iota
	// StateReserved: accelerators are held until the hold expires.
	StateReserved
	// StateCommitted: accelerators are held until Start or Stop.
	StateCommitted
	// StateRunning: the target was told to start the task.
	StateRunning
	// StateStopping: the target was told to stop the task and has not yet done so.
	StateStopping
	// StateEnded: nothing is held, nothing runs and nothing will.
	StateEnded
)

var stateNames = [...]string{"unknown", "reserved", "committed", "running", "stopping", "ended"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}
