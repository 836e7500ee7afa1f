package v3json

// The one comparison in use.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare holds where the key's last modification is at ModRevision; a key
// that does not exist counts as modified at zero.
type Compare struct {
	Key         []byte `json:"key,omitempty"`
	Target      string `json:"target,omitempty"`
	Result      string `json:"result,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp has exactly one field set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Txn    *TxnRequest         `json:"request_txn,omitempty"`
}

// ResponseOp has exactly one field set, matching its RequestOp.
type ResponseOp struct {
	Range  *RangeResponse `json:"response_range,omitempty"`
	Put    *WriteResponse `json:"response_put,omitempty"`
	Delete *WriteResponse `json:"response_delete_range,omitempty"`
	Txn    *TxnResponse   `json:"response_txn,omitempty"`
}

// TxnRequest runs Success where every comparison holds, else Failure.
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
