package store

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// errInvalidResponse means that a reply with status 200 cannot be the store's answer to
// this call: a proxy may answer "{}" by itself, or deliver the answer to another call.
// Since the API omits zero fields, "{}" would be read as an empty store or an expired
// lease. A real answer always carries a revision of at least 1 and the requested keys
// or lease.
var errInvalidResponse = eris.New("not an answer of the store to this call")

func validHeader(h v3json.Header) bool { return h.Revision > 0 }

// validKey checks one key returned by a read.
func validKey(kv v3json.KeyValue) bool {
	return kv.CreateRevision > 0 && kv.CreateRevision <= kv.ModRevision
}

// validRange checks the answer to a read of one key, or of a range of keys if RangeEnd
// is set.
func validRange(req *v3json.RangeRequest, res *v3json.RangeResponse) bool {
	if !validHeader(res.Header) || len(req.RangeEnd) == 0 && len(res.Kvs) > 1 {
		return false
	}
	for _, kv := range res.Kvs {
		if !validKey(kv) || !inRange(req, string(kv.Key)) {
			return false
		}
	}
	return true
}

func inRange(req *v3json.RangeRequest, key string) bool {
	if len(req.RangeEnd) == 0 {
		return key == string(req.Key)
	}
	unbounded := string(req.RangeEnd) == "\x00"
	return key >= string(req.Key) && (unbounded || key < string(req.RangeEnd))
}

// validTxn checks the answer to a call that swaps or reads one key per operation.
func validTxn(swaps []Swap, res *v3json.TxnResponse) bool {
	if !validHeader(res.Header) || len(res.Responses) != len(swaps) {
		return false
	}
	for i, op := range res.Responses {
		if !validOp(swaps[i].Key, op) {
			return false
		}
	}
	return true
}

// validOp checks the answer to one operation: a swap that took effect, or the current
// state of the key.
func validOp(key string, op v3json.ResponseOp) bool {
	if op.Txn != nil {
		if op.Txn.Succeeded {
			return true
		}
		if len(op.Txn.Responses) != 1 {
			return false
		}
		op = op.Txn.Responses[0]
	}
	if op.Range == nil || len(op.Range.Kvs) > 1 {
		return false
	}
	for _, kv := range op.Range.Kvs {
		if string(kv.Key) != key || !validKey(kv) {
			return false
		}
	}
	return true
}

// maxLeaseTTL is the longest TTL of a lease, in seconds, that the API allows.
const maxLeaseTTL = 9_000_000_000

// validLease checks the answer to the grant or renewal of a lease.
func validLease(id int64, res v3json.LeaseResponse) bool {
	return res.ID == id && res.TTL <= maxLeaseTTL
}

// validEvents checks one message of a watch: all keys must have the prefix, and
// revisions must not decrease.
func validEvents(prefix string, events []v3json.Event) bool {
	last := int64(1)
	for _, e := range events {
		if e.Kv.ModRevision < last || !strings.HasPrefix(string(e.Kv.Key), prefix) {
			return false
		}
		last = e.Kv.ModRevision
	}
	return true
}
