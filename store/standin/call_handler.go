package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const maxBodyBytes = 4 << 20

// callHandler serves one kind of call. counter selects the counter, isWrite reports
// whether a request may write, and run executes it while the Server is locked.
type callHandler[Req, Res any] struct {
	server  *Server
	counter func(*Counters) *int64
	isWrite func(*Req) bool
	run     func(*Req) (Res, *apiError)
}

func alwaysWrites[Req any](*Req) bool { return true }
func neverWrites[Req any](*Req) bool  { return false }

// ServeHTTP implements http.Handler.
func (c callHandler[Req, Res]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := new(Req)
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// Unknown fields are errors, since a test must not pass without a feature that the
	// client asked for.
	dec.DisallowUnknownFields()
	if err := dec.Decode(req); err != nil {
		writeJSON(w, http.StatusBadRequest, v3json.Error{Error: err.Error(), Code: v3json.CodeInvalidArgument})
		return
	}
	write := c.isWrite(req)
	if !c.server.admit(w, r, c.counter, write) {
		return
	}
	s := c.server
	s.mu.Lock()
	if write && s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		s.dropConnection()
	}
	s.expire()
	oldRevision := s.state.revision
	res, apiErr := c.run(req)
	s.notifyIfChanged(oldRevision)
	if write && s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		s.dropConnection()
	}
	s.mu.Unlock()
	if apiErr != nil {
		writeJSON(w, apiErr.status, apiErr.body)
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// dropConnection closes the caller's connection without a reply. It unlocks the Server,
// which the caller has locked, and panics.
func (s *Server) dropConnection() {
	s.counters.Lost++
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// admit counts a call and applies the faults that act before it takes effect. If it
// returns false, it has replied to the call.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, counter func(*Counters) *int64, write bool) bool {
	s.mu.Lock()
	*counter(&s.counters)++
	faults := s.faults
	limiter := s.readLimiter
	if write {
		limiter = s.writeLimiter
	}
	s.mu.Unlock()
	if faults.Down == DownHang {
		s.waitFor(r, nil)
		panic(http.ErrAbortHandler)
	}
	if faults.Down != "" {
		s.reject(w, newAPIError(v3json.CodeUnavailable, v3json.MsgNoLeader))
		return false
	}
	if !allow(limiter) {
		s.reject(w, newAPIError(v3json.CodeResourceExhausted, v3json.MsgTooManyRequests))
		return false
	}
	if faults.DelayMillis > 0 {
		s.waitFor(r, time.After(time.Duration(faults.DelayMillis)*time.Millisecond))
	}
	return true
}

func allow(l *rate.Limiter) bool { return l == nil || l.Allow() }

// waitFor waits for until, the end of the call or the end of the Server.
func (s *Server) waitFor(r *http.Request, until <-chan time.Time) {
	select {
	case <-until:
	case <-r.Context().Done():
	case <-s.tomb.Dying():
	}
}

func (s *Server) reject(w http.ResponseWriter, apiErr *apiError) {
	s.mu.Lock()
	s.counters.Refused++
	s.mu.Unlock()
	writeJSON(w, apiErr.status, apiErr.body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
