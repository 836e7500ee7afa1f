package link

import "github.com/eelgrasshub/eelgrasshub/wire"

// Kinds of this package's messages on the wire; never reuse or renumber one.
const (
	kindReport wire.Kind = wire.KindFirstFree + 100 + iota
	kindReportReply
	kindOrders
	kindOrdersReply
	kindPeer
	kindPeerReply
	kindLookup
	kindLookupReply
	kindPending
	kindPendingReply
	kindAccept
	kindCancel
	kindRecordReply
	kindNotice
	kindNoticeReply
	kindStoreCall
	kindStoreReply
	kindAlive
	kindAliveReply
)

func init() {
	wire.Register(kindReport, Report{})
	wire.Register(kindReportReply, ReportReply{})
	wire.Register(kindOrders, Orders{})
	wire.Register(kindOrdersReply, OrdersReply{})
	wire.Register(kindPeer, PeerQuery{})
	wire.Register(kindPeerReply, PeerReply{})
	wire.Register(kindLookup, JobQuery{})
	wire.Register(kindLookupReply, JobQueryReply{})
	wire.Register(kindPending, PendingQuery{})
	wire.Register(kindPendingReply, PendingQueryReply{})
	wire.Register(kindAccept, WriteJob{})
	wire.Register(kindCancel, WriteCancellation{})
	wire.Register(kindRecordReply, WriteReply{})
	wire.Register(kindNotice, RecordNotice{})
	wire.Register(kindNoticeReply, RecordNoticeReply{})
	wire.Register(kindStoreCall, StoreCall{})
	wire.Register(kindStoreReply, StoreReply{})
	wire.Register(kindAlive, LivenessQuery{})
	wire.Register(kindAliveReply, LivenessReply{})
}
