package gang

// Task is a member's account of one attempt. Reports carry it, and so does the
// list of tasks that a target gives to a restarted agent.
type Task struct {
	ID           ID    `cbor:"1,keyasint"`
	State        State `cbor:"2,keyasint"`
	Accelerators []int `cbor:"3,keyasint,omitempty"`
	// Members is the size of the gang.
	Members int `cbor:"4,keyasint"`
	// Committed and Started say how far the attempt ever got; both stay set
	// after it has ended.
	Committed bool   `cbor:"5,keyasint,omitempty"`
	Started   bool   `cbor:"6,keyasint,omitempty"`
	Result    Result `cbor:"7,keyasint,omitempty"`
	// Checkpointed says that a checkpoint was written when the task stopped.
	Checkpointed bool   `cbor:"8,keyasint,omitempty"`
	Detail       string `cbor:"9,keyasint,omitempty"`
	// RunUntil is when a running task of several members is to be stopped unless
	// its gang is known to be whole, as UnixNano of the agent's clock. The lease of
	// the task at the target must not be renewed beyond it, and the target lists it
	// to a restarted agent: an agent's end or restart must not give an isolated
	// task more time. Zero means that the target doesn't know.
	RunUntil int64 `cbor:"10,keyasint,omitempty"`
}

// Reply is what a member answers to a message, and what it sends by itself when
// a task ends.
type Reply struct {
	Task Task `cbor:"1,keyasint"`
	// Incarnation is that of the agent that answers.
	Incarnation uint64  `cbor:"2,keyasint"`
	Refusal     Refusal `cbor:"3,keyasint,omitempty"`
	// Fence is the highest epoch that the member has heard of.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
}
