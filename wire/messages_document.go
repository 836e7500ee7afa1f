package wire

import "time"

// DocumentVersion is one accepted version of a service's document. Token is
// the unique token of the write that created it.
type DocumentVersion struct {
	Service    string    `cbor:"1,keyasint,omitempty"`
	Generation uint64    `cbor:"2,keyasint,omitempty"`
	Token      string    `cbor:"3,keyasint,omitempty"`
	Author     string    `cbor:"4,keyasint,omitempty"`
	At         time.Time `cbor:"5,keyasint,omitzero"`
	TOML       []byte    `cbor:"6,keyasint,omitempty"`
}

// Publish spreads document versions.
type Publish struct {
	Versions []DocumentVersion `cbor:"1,keyasint,omitempty"`
}

// PublishAck says which generations the receiver has in force afterwards.
type PublishAck struct {
	Generations []Generation `cbor:"1,keyasint,omitempty"`
}

// Fetch asks for the versions that the receiver has in force; no Services
// means all.
type Fetch struct {
	Services []string `cbor:"1,keyasint,omitempty"`
}

// FetchReply answers Fetch.
type FetchReply struct {
	Versions []DocumentVersion `cbor:"1,keyasint,omitempty"`
}

func init() {
	Register(KindPublish, Publish{})
	Register(KindPublishAck, PublishAck{})
	Register(KindFetch, Fetch{})
	Register(KindFetchReply, FetchReply{})
}
