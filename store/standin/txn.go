package standin

import "github.com/eelgrasshub/eelgrasshub/store/internal/v3json"

const (
	maxOps   = 128
	maxBytes = 1536 << 10
)

// txn runs one transaction: all comparisons, nested ones included, see the
// state before it, all writes share one revision, and a refused one leaves no
// trace.
func (s *state) txn(req *v3json.TxnRequest) (*v3json.TxnResponse, *failure) {
	if f := checkOps(req, maxOps, make(map[string]bool)); f != nil {
		return nil, f
	}
	run := &txnRun{state: s, rev: s.rev + 1, taken: make(map[*v3json.TxnRequest]bool)}
	if f := run.decide(req); f != nil {
		return nil, f
	}
	res := run.apply(req)
	if run.wrote {
		s.rev = run.rev
	}
	stamp(res, s.header())
	return res, nil
}

// checkOps applies the limits of the API: the operations of nested
// transactions count against what the outer ones leave, and a key is written
// once at most.
func checkOps(req *v3json.TxnRequest, room int, put map[string]bool) *failure {
	ops := max(len(req.Compare), len(req.Success), len(req.Failure))
	if ops > room {
		return refusal(v3json.CodeInvalidArgument, v3json.MsgTooManyOps)
	}
	for _, branch := range [][]v3json.RequestOp{req.Success, req.Failure} {
		for _, op := range branch {
			if f := checkOp(op, room-ops, put); f != nil {
				return f
			}
		}
	}
	return nil
}

func checkOp(op v3json.RequestOp, room int, put map[string]bool) *failure {
	switch {
	case op.Txn != nil:
		return checkOps(op.Txn, room, put)
	case op.Put != nil:
		return checkOnce(string(op.Put.Key), put)
	case op.Delete != nil:
		return checkOnce(string(op.Delete.Key), put)
	}
	return nil
}

func checkOnce(key string, put map[string]bool) *failure {
	if put[key] {
		return refusal(v3json.CodeInvalidArgument, v3json.MsgDuplicateKey)
	}
	put[key] = true
	return nil
}

type txnRun struct {
	*state
	rev   int64
	taken map[*v3json.TxnRequest]bool
	wrote bool
}

func (r *txnRun) branch(req *v3json.TxnRequest) []v3json.RequestOp {
	if r.taken[req] {
		return req.Success
	}
	return req.Failure
}

// decide evaluates the comparisons and checks the leases on the branches that
// will run.
func (r *txnRun) decide(req *v3json.TxnRequest) *failure {
	r.taken[req] = true
	for _, c := range req.Compare {
		kv, _ := r.get(string(c.Key))
		if kv.ModRevision != c.ModRevision {
			r.taken[req] = false
		}
	}
	for _, op := range r.branch(req) {
		if op.Put != nil && op.Put.Lease != 0 && r.leases[op.Put.Lease] == nil {
			return refusal(v3json.CodeNotFound, v3json.MsgLeaseNotFound)
		}
		if op.Txn == nil {
			continue
		}
		if f := r.decide(op.Txn); f != nil {
			return f
		}
	}
	return nil
}

func (r *txnRun) apply(req *v3json.TxnRequest) *v3json.TxnResponse {
	res := &v3json.TxnResponse{Succeeded: r.taken[req]}
	for _, op := range r.branch(req) {
		res.Responses = append(res.Responses, r.applyOp(op))
	}
	return res
}

func (r *txnRun) applyOp(op v3json.RequestOp) v3json.ResponseOp {
	switch {
	case op.Txn != nil:
		return v3json.ResponseOp{Txn: r.apply(op.Txn)}
	case op.Put != nil:
		r.put(r.rev, string(op.Put.Key), op.Put.Value, op.Put.Lease)
		r.wrote = true
		return v3json.ResponseOp{Put: &v3json.WriteResponse{}}
	case op.Delete != nil:
		if r.remove(r.rev, string(op.Delete.Key)) {
			r.wrote = true
		}
		return v3json.ResponseOp{Delete: &v3json.WriteResponse{}}
	case op.Range != nil:
		kvs := r.list(op.Range.Key, op.Range.RangeEnd, r.rev)
		return v3json.ResponseOp{Range: &v3json.RangeResponse{Kvs: kvs}}
	}
	return v3json.ResponseOp{}
}

// stamp fills in the header, whose revision is known only at the end.
func stamp(res *v3json.TxnResponse, h v3json.Header) {
	res.Header = h
	for _, op := range res.Responses {
		switch {
		case op.Txn != nil:
			stamp(op.Txn, h)
		case op.Put != nil:
			op.Put.Header = h
		case op.Delete != nil:
			op.Delete.Header = h
		case op.Range != nil:
			op.Range.Header = h
		}
	}
}
