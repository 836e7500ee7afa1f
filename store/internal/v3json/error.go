package v3json

// gRPC status codes of error replies.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnavailable        = 14
)

// Messages of error replies, as etcd words them.
const (
	MsgLeaseNotFound   = "etcdserver: requested lease not found"
	MsgLeaseExists     = "etcdserver: lease already exists"
	MsgCompacted       = "etcdserver: mvcc: required revision has been compacted"
	MsgFutureRevision  = "etcdserver: mvcc: required revision is a future revision"
	MsgTooManyRequests = "etcdserver: too many requests"
	MsgTooManyOps      = "etcdserver: too many operations in txn request"
	MsgDuplicateKey    = "etcdserver: duplicate key given in txn request"
	MsgTooLarge        = "etcdserver: request is too large"
	MsgNoLeader        = "etcdserver: no leader"
)

// Error is the body of an error reply.
type Error struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}
