package link

// LivenessQuery asks a planner whether it is.
type LivenessQuery struct{}

// LivenessReply answers Alive.
type LivenessReply struct {
	// Epoch under which the sender plans; zero where it does not.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
}
