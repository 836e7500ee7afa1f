package link

// Alive asks a planner whether it is.
type Alive struct{}

// AliveReply answers Alive.
type AliveReply struct {
	// Epoch under which the sender plans; zero where it does not.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
}
