package gang

// Task is the state of one attempt on one member. Reports carry it, and so
// does the list of tasks that a target gives to a restarted agent.
type Task struct {
	ID           ID    `cbor:"1,keyasint"`
	State        State `cbor:"2,keyasint"`
	Accelerators []int `cbor:"3,keyasint,omitempty"`
	// Members is the size of the gang.
	Members int `cbor:"4,keyasint"`
	// Committed and Started tell how far the attempt ever got; both stay set
	// after it has ended.
	Committed bool   `cbor:"5,keyasint,omitempty"`
	Started   bool   `cbor:"6,keyasint,omitempty"`
	Result    Result `cbor:"7,keyasint,omitempty"`
	// Checkpointed is set if a checkpoint was written when the task stopped.
	Checkpointed bool   `cbor:"8,keyasint,omitempty"`
	Detail       string `cbor:"9,keyasint,omitempty"`
	// RunUntil is when a running task of several members is stopped unless its
	// attempt is renewed, in Unix nanoseconds of the agent's clock; zero if
	// the target doesn't know it. The task's lease at the target must not
	// outlast it, and the target returns it to a restarted agent, so that a
	// restart gives an isolated task no more time.
	RunUntil int64 `cbor:"10,keyasint,omitempty"`
	// Unconfirmed is set while the target has not answered the start.
	Unconfirmed bool `cbor:"11,keyasint,omitempty"`
}

// Reply answers a message. A member also sends one on its own when the target
// has confirmed the start of a task, and when a task ends.
type Reply struct {
	Task Task `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the answering agent.
	Incarnation uint64  `cbor:"2,keyasint"`
	Refusal     Refusal `cbor:"3,keyasint,omitempty"`
	// Fence is the highest epoch that the member has heard from.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
}
