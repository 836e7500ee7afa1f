package gang

import "time"

// Message is sent by a coordinator to a member: Reserve, Commit, Start, Stop
// or Seal. All messages are idempotent.
type Message interface {
	// Head returns the header that all messages share.
	Head() Header
}

// Header addresses one attempt on one incarnation of an agent.
type Header struct {
	ID ID `cbor:"1,keyasint"`
	// Sender is the fencing epoch of the sending planner. It is higher than
	// ID.Epoch when a successor resolves an attempt of its predecessor.
	Sender uint64 `cbor:"2,keyasint"`
	// Incarnation is the agent's incarnation at planning time. Agents keep no
	// state over a restart, so a message to an earlier incarnation has no
	// effect.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Reserve asks the member to hold accelerators for Hold, or until a Commit
// arrives.
type Reserve struct {
	Header       Header        `cbor:"1,keyasint"`
	Accelerators []int         `cbor:"2,keyasint"`
	Members      int           `cbor:"3,keyasint"`
	Hold         time.Duration `cbor:"4,keyasint"`
	// Spec describes the task to the target; this package doesn't interpret
	// it.
	Spec []byte `cbor:"5,keyasint"`
}

// Commit extends a hold until Start or Stop. It is sent only after the start
// is in the job's record or covered by a permit, so that a successor can find
// and resolve the hold.
type Commit struct {
	Header Header `cbor:"1,keyasint"`
}

// Start starts the task. It is sent only after all members have committed.
type Start struct {
	Header Header `cbor:"1,keyasint"`
}

// Stop ends the attempt on this member in whatever state it is, and
// acknowledges one that has ended.
type Stop struct {
	Header     Header `cbor:"1,keyasint"`
	Checkpoint bool   `cbor:"2,keyasint"`
}

// Seal asks how far the attempt got and fences earlier planners. An attempt
// that is unknown or only reserved is ended by it; one that has committed
// keeps its state.
type Seal struct {
	Header Header `cbor:"1,keyasint"`
}

// Head implements Message.
func (m Reserve) Head() Header { return m.Header }

// Head implements Message.
func (m Commit) Head() Header { return m.Header }

// Head implements Message.
func (m Start) Head() Header { return m.Header }

// Head implements Message.
func (m Stop) Head() Header { return m.Header }

// Head implements Message.
func (m Seal) Head() Header { return m.Header }
