package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

func (s *Server) routes() {
	s.mux.Handle("POST "+v3json.PathRange, callHandler[v3json.RangeRequest, *v3json.RangeResponse]{
		server:  s,
		counter: func(c *Counters) *int64 { return &c.Range },
		isWrite: neverWrites[v3json.RangeRequest],
		run:     s.handleRange,
	})
	s.mux.Handle("POST "+v3json.PathTxn, callHandler[v3json.TxnRequest, *v3json.TxnResponse]{
		server:  s,
		counter: func(c *Counters) *int64 { return &c.Txn },
		isWrite: mayWrite,
		run:     func(r *v3json.TxnRequest) (*v3json.TxnResponse, *apiError) { return s.state.txn(r) },
	})
	s.mux.Handle("POST "+v3json.PathGrant, callHandler[v3json.GrantRequest, v3json.LeaseResponse]{
		server:  s,
		counter: func(c *Counters) *int64 { return &c.Grant },
		isWrite: alwaysWrites[v3json.GrantRequest],
		run: func(r *v3json.GrantRequest) (v3json.LeaseResponse, *apiError) {
			return s.state.grant(s.now(), *r)
		},
	})
	s.mux.Handle("POST "+v3json.PathKeepAlive, callHandler[v3json.LeaseRequest, v3json.KeepAliveResponse]{
		server:  s,
		counter: func(c *Counters) *int64 { return &c.KeepAlive },
		isWrite: alwaysWrites[v3json.LeaseRequest],
		run: func(r *v3json.LeaseRequest) (v3json.KeepAliveResponse, *apiError) {
			return v3json.KeepAliveResponse{Result: s.state.keepAlive(s.now(), r.ID)}, nil
		},
	})
	s.mux.Handle("POST "+v3json.PathRevoke, callHandler[v3json.LeaseRequest, v3json.LeaseResponse]{
		server:  s,
		counter: func(c *Counters) *int64 { return &c.Revoke },
		isWrite: alwaysWrites[v3json.LeaseRequest],
		run: func(r *v3json.LeaseRequest) (v3json.LeaseResponse, *apiError) {
			return s.state.revoke(r.ID)
		},
	})
	s.mux.HandleFunc("POST "+v3json.PathWatch, s.handleWatch)
	s.controlRoutes()
}

// mayWrite reports whether a transaction may write. One that only reads counts as a
// read, also for the faults of writes.
func mayWrite(req *v3json.TxnRequest) bool {
	for _, op := range slices.Concat(req.Success, req.Failure) {
		if op.Put != nil || op.Delete != nil || op.Txn != nil && mayWrite(op.Txn) {
			return true
		}
	}
	return false
}

func (s *Server) controlRoutes() {
	s.mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	s.mux.HandleFunc("POST /standin/faults", s.handleSetFaults)
	s.mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counters())
	})
	for pattern, action := range map[string]func(){
		"POST /standin/snapshot": s.Snapshot,
		"POST /standin/restore":  s.Restore,
		"POST /standin/compact":  s.Compact,
	} {
		s.mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
			action()
			w.WriteHeader(http.StatusNoContent)
		})
	}
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, s.Faults())
}
