package v3json

// Target and result of the only supported comparison.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is true if the key's last modification has revision ModRevision, which is
// zero for a key that does not exist.
type Compare struct {
	Key         []byte `json:"key,omitempty"`
	Target      string `json:"target,omitempty"`
	Result      string `json:"result,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Txn    *TxnRequest         `json:"request_txn,omitempty"`
}

// ResponseOp is the reply to one RequestOp. The field of the same kind is set.
type ResponseOp struct {
	Range  *RangeResponse `json:"response_range,omitempty"`
	Put    *WriteResponse `json:"response_put,omitempty"`
	Delete *WriteResponse `json:"response_delete_range,omitempty"`
	Txn    *TxnResponse   `json:"response_txn,omitempty"`
}

// TxnRequest runs Success if every comparison is true, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the reply to TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}
