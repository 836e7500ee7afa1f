package standin

import (
	"context"
	"net"
	"net/http"
)

// connState is the state of one connection. Only connections that carried a request of
// the target protocol are counted, so that fetching an audit has no effect.
type connState struct {
	isCounted bool
}

// connStateKey is the context key of a connection's connState.
type connStateKey struct{}

// HTTPServer returns an HTTP server for s that counts its connections.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:     s,
		ConnContext: s.trackConn,
		ConnState:   s.handleConnState,
	}
}

func (s *Server) trackConn(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &connState{}
	s.conns[c] = st
	return context.WithValue(ctx, connStateKey{}, st)
}

func (s *Server) handleConnState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.conns[c]; st != nil && st.isCounted {
		s.protocolConns--
	}
	delete(s.conns, c)
}

func (s *Server) countConn(ctx context.Context) {
	st, ok := ctx.Value(connStateKey{}).(*connState)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.isCounted {
		return
	}
	st.isCounted = true
	s.protocolConns++
	if s.protocolConns > s.opts.Connections {
		s.recordViolation(ViolationTooManyConnections, "%d open, limit %d", s.protocolConns, s.opts.Connections)
	}
}
