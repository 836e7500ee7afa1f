package store

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

// errInvalidResponse: the answer is JSON with status 200, and the store can't have
// given it to this call.
//
// The failure this guards against: something between the two ends answers "{}" of
// its own, or hands over the answer to another call. Read as the API's, where zero
// fields are left out, "{}" is a store without any keys, or a lease that is gone:
// every job would be forgotten and every duty given up. The store's revision begins
// at 1 and comes with each answer, as the name of each key and lease does.
var errInvalidResponse = eris.New("not an answer of the store to this call")

func validHeader(h v3json.Header) bool { return h.Revision > 0 }

// validKey checks one key that a read returned.
func validKey(kv v3json.KeyValue) bool {
	return kv.CreateRevision > 0 && kv.CreateRevision <= kv.ModRevision
}

// validRange checks the answer to a read of one key, or of all below a prefix
// where end is not empty.
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

// validTxn checks the answer to a call that swaps, or reads, one key after the
// other.
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

// validOp checks one of them: a swap that took effect, or the key as it is.
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

// maxLeaseTTL is the longest life of a lease in seconds that the API allows.
const maxLeaseTTL = 9_000_000_000

// validLease checks the answer to a grant or a renewal of a lease.
func validLease(id int64, res v3json.LeaseResponse) bool {
	return res.ID == id && res.TTL <= maxLeaseTTL
}

// validEvents checks what a watch of a prefix brings at once: changes in the
// order of their revisions.
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
