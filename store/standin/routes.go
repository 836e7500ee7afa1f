package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

func (s *Server) routes() {
	s.mux.Handle("POST "+v3json.PathRange, call[v3json.RangeRequest, *v3json.RangeResponse]{
		server: s,
		count:  func(c *Counters) *int64 { return &c.Range },
		writes: never[v3json.RangeRequest],
		do:     s.rangeKeys,
	})
	s.mux.Handle("POST "+v3json.PathTxn, call[v3json.TxnRequest, *v3json.TxnResponse]{
		server: s,
		count:  func(c *Counters) *int64 { return &c.Txn },
		writes: writesKeys,
		do:     func(r *v3json.TxnRequest) (*v3json.TxnResponse, *failure) { return s.state.txn(r) },
	})
	s.mux.Handle("POST "+v3json.PathGrant, call[v3json.GrantRequest, v3json.LeaseResponse]{
		server: s,
		count:  func(c *Counters) *int64 { return &c.Grant },
		writes: always[v3json.GrantRequest],
		do: func(r *v3json.GrantRequest) (v3json.LeaseResponse, *failure) {
			return s.state.grant(s.now(), *r)
		},
	})
	s.mux.Handle("POST "+v3json.PathKeepAlive, call[v3json.LeaseRequest, v3json.KeepAliveResponse]{
		server: s,
		count:  func(c *Counters) *int64 { return &c.KeepAlive },
		writes: always[v3json.LeaseRequest],
		do: func(r *v3json.LeaseRequest) (v3json.KeepAliveResponse, *failure) {
			return v3json.KeepAliveResponse{Result: s.state.keepAlive(s.now(), r.ID)}, nil
		},
	})
	s.mux.Handle("POST "+v3json.PathRevoke, call[v3json.LeaseRequest, v3json.LeaseResponse]{
		server: s,
		count:  func(c *Counters) *int64 { return &c.Revoke },
		writes: always[v3json.LeaseRequest],
		do: func(r *v3json.LeaseRequest) (v3json.LeaseResponse, *failure) {
			return s.state.revoke(r.ID)
		},
	})
	s.mux.HandleFunc("POST "+v3json.PathWatch, s.serveWatch)
	s.controls()
}

// writesKeys tells whether a transaction may write; one that only reads counts
// as a read, also for faults that hit writes.
func writesKeys(req *v3json.TxnRequest) bool {
	for _, op := range slices.Concat(req.Success, req.Failure) {
		if op.Put != nil || op.Delete != nil || op.Txn != nil && writesKeys(op.Txn) {
			return true
		}
	}
	return false
}

func (s *Server) controls() {
	s.mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Faults())
	})
	s.mux.HandleFunc("POST /standin/faults", s.postFaults)
	s.mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Counters())
	})
	for path, do := range map[string]func(){
		"POST /standin/snapshot": s.Snapshot,
		"POST /standin/restore":  s.Restore,
		"POST /standin/compact":  s.Compact,
	} {
		s.mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			do()
			w.WriteHeader(http.StatusNoContent)
		})
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, s.Faults())
}
