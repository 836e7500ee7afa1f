package wire

// Kind names a message type on the wire. Kinds are part of the protocol: never
// reuse or renumber one.
type Kind uint16

// Kinds of this package's messages. Kinds from KindFirstFree on are free for
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
	KindPublish
	KindPublishAck
	KindFetch
	KindFetchReply
	KindExecute
	KindExecuteReply
	KindResolve
	KindResolveReply
	KindGang
	KindGangReply
	KindJobStatus
	KindJobStatusReply
	KindInspect
	KindInspectReply
	KindFirstFree Kind = 1000
)
