package link

// LivenessQuery asks a gateway whether it is the active planner.
type LivenessQuery struct{}

// LivenessReply answers LivenessQuery.
type LivenessReply struct {
	// Epoch is the epoch under which the sender plans, zero if it is not the active planner.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
}
