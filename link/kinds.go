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
	wire.Register(kindPeer, Peer{})
	wire.Register(kindPeerReply, PeerReply{})
	wire.Register(kindLookup, Lookup{})
	wire.Register(kindLookupReply, LookupReply{})
	wire.Register(kindPending, Pending{})
	wire.Register(kindPendingReply, PendingReply{})
	wire.Register(kindAccept, Accept{})
	wire.Register(kindCancel, Cancel{})
	wire.Register(kindRecordReply, RecordReply{})
	wire.Register(kindNotice, Notice{})
	wire.Register(kindNoticeReply, NoticeReply{})
	wire.Register(kindStoreCall, StoreCall{})
	wire.Register(kindStoreReply, StoreReply{})
	wire.Register(kindAlive, Alive{})
	wire.Register(kindAliveReply, AliveReply{})
}
