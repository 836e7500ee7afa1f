package wire

// InspectRequest asks the entry that plans a service for a report: of the whole service,
// or of one job.
type InspectRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Job     string `cbor:"2,keyasint,omitempty"`
}

// InspectReply answers Inspect. Both fields are in the JSON of the callers'
// interface; exactly one is set.
type InspectReply struct {
	Report  []byte `cbor:"1,keyasint,omitempty"`
	Problem []byte `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindInspectRequest, InspectRequest{})
	Register(KindInspectReply, InspectReply{})
}
