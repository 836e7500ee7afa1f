package link

import "github.com/eelgrasshub/eelgrasshub/wire"

// Message kinds on the wire. Never reuse or renumber one.
const (
	kindReport wire.Kind = wire.KindFirstFree + 100 + iota
	kindReportReply
	kindOrders
	kindOrdersReply
	kindPeerQuery
	kindPeerReply
	kindJobQuery
	kindJobQueryReply
	kindPendingQuery
	kindPendingQueryReply
	kindWriteJob
	kindWriteCancellation
	kindWriteReply
	kindRecordNotice
	kindRecordNoticeReply
	kindStoreCall
	kindStoreReply
	kindLivenessQuery
	kindLivenessReply
)

func init() {
	wire.Register(kindReport, Report{})
	wire.Register(kindReportReply, ReportReply{})
	wire.Register(kindOrders, Orders{})
	wire.Register(kindOrdersReply, OrdersReply{})
	wire.Register(kindPeerQuery, PeerQuery{})
	wire.Register(kindPeerReply, PeerReply{})
	wire.Register(kindJobQuery, JobQuery{})
	wire.Register(kindJobQueryReply, JobQueryReply{})
	wire.Register(kindPendingQuery, PendingQuery{})
	wire.Register(kindPendingQueryReply, PendingQueryReply{})
	wire.Register(kindWriteJob, WriteJob{})
	wire.Register(kindWriteCancellation, WriteCancellation{})
	wire.Register(kindWriteReply, WriteReply{})
	wire.Register(kindRecordNotice, RecordNotice{})
	wire.Register(kindRecordNoticeReply, RecordNoticeReply{})
	wire.Register(kindStoreCall, StoreCall{})
	wire.Register(kindStoreReply, StoreReply{})
	wire.Register(kindLivenessQuery, LivenessQuery{})
	wire.Register(kindLivenessReply, LivenessReply{})
}
