package gang

// Envelope carries any Message through a codec without interface types.
// Exactly one field is set.
type Envelope struct {
	Reserve *Reserve `cbor:"1,keyasint,omitempty"`
	Commit  *Commit  `cbor:"2,keyasint,omitempty"`
	Start   *Start   `cbor:"3,keyasint,omitempty"`
	Stop    *Stop    `cbor:"4,keyasint,omitempty"`
	Seal    *Seal    `cbor:"5,keyasint,omitempty"`
}

// Pack puts a message into an envelope.
func Pack(m Message) Envelope {
	switch m := m.(type) {
	case Reserve:
		return Envelope{Reserve: &m}
	case Commit:
		return Envelope{Commit: &m}
	case Start:
		return Envelope{Start: &m}
	case Stop:
		return Envelope{Stop: &m}
	case Seal:
		return Envelope{Seal: &m}
	}
	return Envelope{}
}

// Message returns the message in the envelope, or nil if there is none of a
// known type, as in an envelope from a later version.
func (e Envelope) Message() Message {
	switch {
	case e.Reserve != nil:
		return *e.Reserve
	case e.Commit != nil:
		return *e.Commit
	case e.Start != nil:
		return *e.Start
	case e.Stop != nil:
		return *e.Stop
	case e.Seal != nil:
		return *e.Seal
	}
	return nil
}
