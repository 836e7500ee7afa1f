package wire

// JobStatusRequest asks for the status of jobs.
type JobStatusRequest struct {
	Service string   `cbor:"1,keyasint,omitempty"`
	IDs     []string `cbor:"2,keyasint,omitempty"`
}

// JobState is the status of one job as known to the planner.
type JobState struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Status is the job in the JSON form of the public API.
	Status []byte `cbor:"2,keyasint,omitempty"`
}

// JobStatusReply answers JobStatusRequest.
type JobStatusReply struct {
	States []JobState `cbor:"1,keyasint,omitempty"`
	Entry  string     `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindJobStatusRequest, JobStatusRequest{})
	Register(KindJobStatusReply, JobStatusReply{})
}
