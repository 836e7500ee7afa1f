package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrasshub/eelgrasshub/store/internal/v3json"
)

const maxBody = 4 << 20

// call is one kind of call: where it is counted, whether it writes, and what
// it does under the Server's lock.
type call[Req, Res any] struct {
	server *Server
	count  func(*Counters) *int64
	writes func(*Req) bool
	do     func(*Req) (Res, *failure)
}

func always[Req any](*Req) bool { return true }
func never[Req any](*Req) bool  { return false }

func (c call[Req, Res]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := new(Req)
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	// A field that the stand-in does not know would otherwise be ignored in
	// silence, and a test would pass without what it asked for.
	dec.DisallowUnknownFields()
	if err := dec.Decode(req); err != nil {
		reply(w, http.StatusBadRequest, v3json.Error{Error: err.Error(), Code: v3json.CodeInvalidArgument})
		return
	}
	write := c.writes(req)
	if !c.server.admit(w, r, c.count, write) {
		return
	}
	s := c.server
	s.mu.Lock()
	if write && s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		s.lose()
	}
	s.expire()
	before := s.state.rev
	res, f := c.do(req)
	s.wakeIf(before)
	if write && s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		s.lose()
	}
	s.mu.Unlock()
	if f != nil {
		reply(w, f.status, f.body)
		return
	}
	reply(w, http.StatusOK, res)
}

// lose breaks the caller's connection. It releases the lock, which the caller
// holds, and does not return.
func (s *Server) lose() {
	s.counters.Lost++
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// admit counts a call and applies the faults that hit it before it takes
// effect. It has answered the call where it returns false.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, count func(*Counters) *int64, write bool) bool {
	s.mu.Lock()
	*count(&s.counters)++
	f := s.faults
	limit := s.reads
	if write {
		limit = s.writes
	}
	s.mu.Unlock()
	if f.Down == DownHang {
		s.pause(r, nil)
		panic(http.ErrAbortHandler)
	}
	if f.Down != "" {
		s.refuse(w, refusal(v3json.CodeUnavailable, v3json.MsgNoLeader))
		return false
	}
	if !allow(limit) {
		s.refuse(w, refusal(v3json.CodeResourceExhausted, v3json.MsgTooManyRequests))
		return false
	}
	if f.DelayMillis > 0 {
		s.pause(r, time.After(time.Duration(f.DelayMillis)*time.Millisecond))
	}
	return true
}

func allow(l *rate.Limiter) bool { return l == nil || l.Allow() }

// pause waits for until, the end of the call or the end of the Server.
func (s *Server) pause(r *http.Request, until <-chan time.Time) {
	select {
	case <-until:
	case <-r.Context().Done():
	case <-s.tomb.Dying():
	}
}

func (s *Server) refuse(w http.ResponseWriter, f *failure) {
	s.mu.Lock()
	s.counters.Refused++
	s.mu.Unlock()
	reply(w, f.status, f.body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
