package gang

import "time"

// Message is what a coordinator sends to a member: Reserve, Commit, Start, Stop
// or Seal. All of them are idempotent.
type Message interface {
	// Head returns the part that all messages share.
	Head() Header
}

// Header addresses one attempt on one incarnation of an agent.
type Header struct {
	ID ID `cbor:"1,keyasint"`
	// Sender is the fencing epoch of the planner that sends. It is above
	// ID.Epoch when a successor resolves an attempt of its predecessor.
	Sender uint64 `cbor:"2,keyasint"`
	// Incarnation is that of the agent at planning time. Agents keep nothing
	// over a restart, so what was sent to an earlier incarnation must not act.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Reserve asks to hold accelerators until Hold has passed or a Commit arrives.
type Reserve struct {
	Header       Header        `cbor:"1,keyasint"`
	Accelerators []int         `cbor:"2,keyasint"`
	Members      int           `cbor:"3,keyasint"`
	Hold         time.Duration `cbor:"4,keyasint"`
	// Spec describes the task to the target; this package doesn't read it.
	Spec []byte `cbor:"5,keyasint"`
}

// Commit makes a hold last until Start or Stop. It is sent only after the start
// is in the job's record, so a successor can always find and resolve the hold.
type Commit struct {
	Header Header `cbor:"1,keyasint"`
}

// Start starts the task. It is sent only after all members have committed.
type Start struct {
	Header Header `cbor:"1,keyasint"`
}

// Stop ends the attempt on this member at whatever stage it is, and closes the
// account of one that has ended.
type Stop struct {
	Header     Header `cbor:"1,keyasint"`
	Checkpoint bool   `cbor:"2,keyasint"`
}

// Seal asks how far the attempt got and forbids it to get further than a commit
// already made: an attempt that is unknown or only reserved is ended by it, and
// earlier planners are fenced off.
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
