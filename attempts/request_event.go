package attempts

// Event is an input of Request.Step: Start, ClaimReply, BeginReply,
// ResolveReply, ConnectionLost or Wake.
type Event interface{ event() }

// Start starts the request.
type Start struct{}

// ClaimResult is the result of a WriteClaim, ReplaceClaim or ReleaseClaim.
type ClaimResult uint8

// Results of a store operation on a claim.
const (
	// ClaimUnavailable: the store can't be reached, or the reply was lost and reading
	// the claim back failed. The write may have taken effect.
	ClaimUnavailable ClaimResult = iota
	// ClaimWritten: the operation succeeded.
	ClaimWritten
	// ClaimConflict: the store holds another claim.
	ClaimConflict
	// ClaimGone: the store holds no claim for the key any more.
	ClaimGone
)

// ClaimReply is the reply to a WriteClaim, ReplaceClaim or ReleaseClaim. There is
// exactly one for each. Claim is set for ClaimConflict: it is the one in the store.
type ClaimReply struct {
	Result ClaimResult
	Claim  Claim
}

// BeginReply is the agent's reply to a SendBegin, after the attempt has ended.
// Result is BeginRun, BeginJoin or BeginReplay with the whole answer, or else
// BeginRefuse or BeginUnknown. Interrupted means that the attempt ran without
// giving an answer.
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

// ConnectionLost reports that no reply to the SendBegin will come, because the
// connection broke or became unresponsive.
type ConnectionLost struct{ ID ID }

// Wake reports that time has passed. It is due at the time of the last WakeAt.
type Wake struct{}

func (Start) event()          {}
func (ClaimReply) event()     {}
func (BeginReply) event()     {}
func (ResolveReply) event()   {}
func (ConnectionLost) event() {}
func (Wake) event()           {}
