package standin

import "github.com/eelgrasshub/eelgrasshub/store/internal/v3json"

const (
	maxOps          = 128
	maxRequestBytes = 1536 << 10
)

// txn runs one transaction. All comparisons, including nested ones, see the state
// before it; all writes share one revision; and a rejected transaction changes nothing.
func (s *state) txn(req *v3json.TxnRequest) (*v3json.TxnResponse, *apiError) {
	if apiErr := checkOps(req, maxOps, make(map[string]bool)); apiErr != nil {
		return nil, apiErr
	}
	execution := &txnExecution{state: s, revision: s.revision + 1, succeeded: make(map[*v3json.TxnRequest]bool)}
	if apiErr := execution.evaluate(req); apiErr != nil {
		return nil, apiErr
	}
	res := execution.apply(req)
	if execution.wrote {
		s.revision = execution.revision
	}
	setHeader(res, s.header())
	return res, nil
}

// checkOps enforces the limits of the API: the operations of nested transactions count
// against what the outer ones leave, and a key is written at most once.
func checkOps(req *v3json.TxnRequest, opsLeft int, written map[string]bool) *apiError {
	ops := max(len(req.Compare), len(req.Success), len(req.Failure))
	if ops > opsLeft {
		return newAPIError(v3json.CodeInvalidArgument, v3json.MsgTooManyOps)
	}
	for _, branch := range [][]v3json.RequestOp{req.Success, req.Failure} {
		for _, op := range branch {
			if apiErr := checkOp(op, opsLeft-ops, written); apiErr != nil {
				return apiErr
			}
		}
	}
	return nil
}

func checkOp(op v3json.RequestOp, opsLeft int, written map[string]bool) *apiError {
	switch {
	case op.Txn != nil:
		return checkOps(op.Txn, opsLeft, written)
	case op.Put != nil:
		return checkUniqueWrite(string(op.Put.Key), written)
	case op.Delete != nil:
		return checkUniqueWrite(string(op.Delete.Key), written)
	}
	return nil
}

func checkUniqueWrite(key string, written map[string]bool) *apiError {
	if written[key] {
		return newAPIError(v3json.CodeInvalidArgument, v3json.MsgDuplicateKey)
	}
	written[key] = true
	return nil
}

type txnExecution struct {
	*state
	revision  int64
	succeeded map[*v3json.TxnRequest]bool
	wrote     bool
}

func (r *txnExecution) branch(req *v3json.TxnRequest) []v3json.RequestOp {
	if r.succeeded[req] {
		return req.Success
	}
	return req.Failure
}

// evaluate records the results of the comparisons and checks that the leases of the
// branches to be run exist.
func (r *txnExecution) evaluate(req *v3json.TxnRequest) *apiError {
	r.succeeded[req] = true
	for _, c := range req.Compare {
		kv, _ := r.get(string(c.Key))
		if kv.ModRevision != c.ModRevision {
			r.succeeded[req] = false
		}
	}
	for _, op := range r.branch(req) {
		if op.Put != nil && op.Put.Lease != 0 && r.leases[op.Put.Lease] == nil {
			return newAPIError(v3json.CodeNotFound, v3json.MsgLeaseNotFound)
		}
		if op.Txn == nil {
			continue
		}
		if apiErr := r.evaluate(op.Txn); apiErr != nil {
			return apiErr
		}
	}
	return nil
}

func (r *txnExecution) apply(req *v3json.TxnRequest) *v3json.TxnResponse {
	res := &v3json.TxnResponse{Succeeded: r.succeeded[req]}
	for _, op := range r.branch(req) {
		res.Responses = append(res.Responses, r.applyOp(op))
	}
	return res
}

func (r *txnExecution) applyOp(op v3json.RequestOp) v3json.ResponseOp {
	switch {
	case op.Txn != nil:
		return v3json.ResponseOp{Txn: r.apply(op.Txn)}
	case op.Put != nil:
		r.put(r.revision, string(op.Put.Key), op.Put.Value, op.Put.Lease)
		r.wrote = true
		return v3json.ResponseOp{Put: &v3json.WriteResponse{}}
	case op.Delete != nil:
		if r.deleteKey(r.revision, string(op.Delete.Key)) {
			r.wrote = true
		}
		return v3json.ResponseOp{Delete: &v3json.WriteResponse{}}
	case op.Range != nil:
		kvs := r.list(op.Range.Key, op.Range.RangeEnd, r.revision)
		return v3json.ResponseOp{Range: &v3json.RangeResponse{Kvs: kvs}}
	}
	return v3json.ResponseOp{}
}

// setHeader sets the header of all responses once the final revision is known.
func setHeader(res *v3json.TxnResponse, h v3json.Header) {
	res.Header = h
	for _, op := range res.Responses {
		switch {
		case op.Txn != nil:
			setHeader(op.Txn, h)
		case op.Put != nil:
			op.Put.Header = h
		case op.Delete != nil:
			op.Delete.Header = h
		case op.Range != nil:
			op.Range.Header = h
		}
	}
}
