package wire

// GangMessage carries one message of the gang protocol, encoded by package gang. Epoch
// is the sender's fencing epoch.
type GangMessage struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
}

// GangReply answers GangMessage.
type GangReply struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
}

func init() {
	Register(KindGangMessage, GangMessage{})
	Register(KindGangReply, GangReply{})
}
