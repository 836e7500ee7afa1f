package wire

import "github.com/eelgrasshub/eelgrasshub/document"

// DocumentVersion is one accepted version of a service's document.
type DocumentVersion = document.Version

// PublishDocuments spreads document versions.
type PublishDocuments struct {
	Versions []DocumentVersion `cbor:"1,keyasint,omitempty"`
}

// PublishDocumentsAck says which generations the receiver has in force afterwards.
type PublishDocumentsAck struct {
	Generations []DocumentSummary `cbor:"1,keyasint,omitempty"`
}

// FetchDocuments asks for the versions that the receiver has in force and that are higher
// than what the sender has.
type FetchDocuments struct {
	Have []DocumentSummary `cbor:"1,keyasint,omitempty"`
}

// FetchDocumentsReply answers Fetch with as many versions as fit. Ready says that the
// sender's own configuration is confirmed; Generations is all it has in force.
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
