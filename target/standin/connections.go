package standin

import (
	"context"
	"net"
	"net/http"
)

// connState is one connection. Only those that carried a request of the target
// protocol count, so that fetching an audit doesn't.
type connState struct {
	counted bool
}

type connKey struct{}

// HTTPServer returns a server for s that counts its connections.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:     s,
		ConnContext: s.openConn,
		ConnState:   s.connChanged,
	}
}

func (s *Server) openConn(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &connState{}
	s.conns[c] = st
	return context.WithValue(ctx, connKey{}, st)
}

func (s *Server) connChanged(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.conns[c]; st != nil && st.counted {
		s.connsInUse--
	}
	delete(s.conns, c)
}

func (s *Server) countConn(ctx context.Context) {
	st, ok := ctx.Value(connKey{}).(*connState)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.counted {
		return
	}
	st.counted = true
	s.connsInUse++
	if s.connsInUse > s.opts.Connections {
		s.violate(ViolationTooManyConnections, "%d open, limit %d", s.connsInUse, s.opts.Connections)
	}
}
