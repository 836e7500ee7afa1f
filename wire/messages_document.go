package wire

import "github.com/eelgrasshub/eelgrasshub/document"

// DocumentVersion is an accepted version of a service's document.
type DocumentVersion = document.Version

// PublishDocuments distributes document versions.
type PublishDocuments struct {
	Versions []DocumentVersion `cbor:"1,keyasint,omitempty"`
}

// PublishDocumentsAck answers PublishDocuments with the generations that are current at
// the receiver afterwards.
type PublishDocumentsAck struct {
	Generations []DocumentSummary `cbor:"1,keyasint,omitempty"`
}

// FetchDocuments requests the receiver's current versions that are newer than those the
// sender has.
type FetchDocuments struct {
	Have []DocumentSummary `cbor:"1,keyasint,omitempty"`
}

// FetchDocumentsReply answers FetchDocuments with as many versions as fit. Generations
// lists all current versions of the replying process. Confirmed is set if its own
// configuration is confirmed.
type FetchDocumentsReply struct {
	Versions    []DocumentVersion `cbor:"1,keyasint,omitempty"`
	Generations []DocumentSummary `cbor:"2,keyasint,omitempty"`
	Confirmed   bool              `cbor:"3,keyasint,omitempty"`
}

func init() {
	Register(KindPublishDocuments, PublishDocuments{})
	Register(KindPublishDocumentsAck, PublishDocumentsAck{})
	Register(KindFetchDocuments, FetchDocuments{})
	Register(KindFetchDocumentsReply, FetchDocumentsReply{})
}
