package wire

// JobStatusRequest asks for the states of jobs.
type JobStatusRequest struct {
	Service string   `cbor:"1,keyasint,omitempty"`
	IDs     []string `cbor:"2,keyasint,omitempty"`
}

// JobState is the planner's word on one job.
type JobState struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// Status is the job as callers see it, in the JSON of the callers' interface.
	Status []byte `cbor:"2,keyasint,omitempty"`
}

// JobStatusReply answers JobStatus.
type JobStatusReply struct {
	States []JobState `cbor:"1,keyasint,omitempty"`
	Entry  string     `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindJobStatusRequest, JobStatusRequest{})
	Register(KindJobStatusReply, JobStatusReply{})
}
