package wire

import "github.com/eelgrasshub/eelgrasshub/document"

// DocumentVersion is one accepted version of a service's document.
type DocumentVersion = document.Version

// Publish spreads document versions.
type Publish struct {
	Versions []DocumentVersion `cbor:"1,keyasint,omitempty"`
}

// PublishAck says which generations the receiver has in force afterwards.
type PublishAck struct {
	Generations []Generation `cbor:"1,keyasint,omitempty"`
}

// Fetch asks for the versions that the receiver has in force and that are higher
// than what the sender has.
type Fetch struct {
	Have []Generation `cbor:"1,keyasint,omitempty"`
}

// FetchReply answers Fetch with as many versions as fit. Ready says that the
// sender's own configuration is confirmed; Generations is all it has in force.
type FetchReply struct {
	Versions    []DocumentVersion `cbor:"1,keyasint,omitempty"`
	Generations []Generation      `cbor:"2,keyasint,omitempty"`
	Ready       bool              `cbor:"3,keyasint,omitempty"`
}

func init() {
	Register(KindPublish, Publish{})
	Register(KindPublishAck, PublishAck{})
	Register(KindFetch, Fetch{})
	Register(KindFetchReply, FetchReply{})
}
