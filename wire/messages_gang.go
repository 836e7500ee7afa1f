package wire

// Gang carries one message of the gang protocol, encoded by that package.
// Epoch is the sender's fencing epoch.
type Gang struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
}

// GangReply answers Gang.
type GangReply struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
}

func init() {
	Register(KindGang, Gang{})
	Register(KindGangReply, GangReply{})
}
