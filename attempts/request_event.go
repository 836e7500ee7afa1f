package attempts

// Event is what a Request is told: Go, Claimed, Begun, Resolved, ConnectionLost
// or Wake.
type Event interface{ event() }

// Start starts the request.
type Start struct{}

// ClaimResult is the outcome of a WriteClaim, ReplaceClaim or ReleaseClaim.
type ClaimResult uint8

// Outcomes of a call to the store for a claim.
const (
	// ClaimUnavailable: the store can't be reached, or the reply was lost and the
	// read back failed. The write may have taken effect.
	ClaimUnavailable ClaimResult = iota
	// ClaimWritten: the store holds what was asked for.
	ClaimWritten
	// ClaimConflict: the store holds another claim.
	ClaimConflict
	// ClaimGone: the store holds no claim any more.
	ClaimGone
)

// ClaimReply answers a WriteClaim, ReplaceClaim or ReleaseClaim, exactly once each.
// Claim is the one that the store holds after ClaimConflict.
type ClaimReply struct {
	Result ClaimResult
	Claim  Claim
}

// BeginReply is the agent's reply to a SendBegin, after the attempt has ended.
// Verdict is Fresh, Joined or Repeated with the whole answer, else Refused or
// Unprovable; Interrupted says that it ran without an answer.
type BeginReply struct {
	ID          ID
	Result      BeginResult
	Interrupted bool
	Answer      []byte
}

// ResolveReply is the agent's reply to a SendResolve.
type ResolveReply struct {
	ID     ID
	Status Status
	Answer []byte
}

// ConnectionLost says that no reply to the SendBegin will come: the connection
// broke or went silent.
type ConnectionLost struct{ ID ID }

// Wake lets deadlines act; it is due at the last WakeAt.
type Wake struct{}

func (Start) event()          {}
func (ClaimReply) event()     {}
func (BeginReply) event()     {}
func (ResolveReply) event()   {}
func (ConnectionLost) event() {}
func (Wake) event()           {}
