package wire

// InspectRequest asks the entry that plans a service for a report on the whole service,
// or on one job.
type InspectRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Job     string `cbor:"2,keyasint,omitempty"`
}

// InspectReply answers InspectRequest. Exactly one field is set, in the JSON form of
// the public API.
type InspectReply struct {
	Report  []byte `cbor:"1,keyasint,omitempty"`
	Problem []byte `cbor:"2,keyasint,omitempty"`
}

func init() {
	Register(KindInspectRequest, InspectRequest{})
	Register(KindInspectReply, InspectReply{})
}
