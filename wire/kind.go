package wire

// Kind identifies a message type on the wire. Kinds are part of the protocol: never
// reuse or renumber one.
type Kind uint16

// Kinds of this package's messages. KindFirstFree and higher ones are available to
// other packages and tests.
const (
	kindError Kind = 1 + iota
	KindHello
	KindHelloReply
	KindPing
	KindPong
	KindGoAway
	KindGoAwayReply
	KindReport
	KindReportAck
	KindPublishDocuments
	KindPublishDocumentsAck
	KindFetchDocuments
	KindFetchDocumentsReply
	KindExecute
	KindExecuteReply
	KindResolveAttempt
	KindResolveAttemptReply
	KindGangMessage
	KindGangReply
	KindJobStatusRequest
	KindJobStatusReply
	KindInspectRequest
	KindInspectReply
	KindFirstFree Kind = 1000
)
