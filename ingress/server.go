package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// drainTimeout limits the wait for the rest of a body that the handler has not read. The reply is sent
// after that.
const drainTimeout = 500 * time.Millisecond

// Server is an HTTP server for clients that are not trusted.
type Server struct {
	http     *http.Server
	listener *listener
	ledger   *Ledger
	log      logrus.FieldLogger
	// overloadLog limits the log lines about overload; loggedCount is the number of refusals that were
	// logged.
	overloadLog rate.Sometimes
	loggedCount atomic.Int64
}

// Start serves h on addr until Shutdown or Close is called.
func Start(addr string, h http.Handler, limits Limits, log logrus.FieldLogger) (*Server, error) {
	s, err := Listen(addr, limits, log)
	if err != nil {
		return nil, err
	}
	s.Serve(h)
	return s, nil
}

// Listen returns a server that listens on addr and serves nothing before Serve is called.
func Listen(addr string, limits Limits, log logrus.FieldLogger) (*Server, error) {
	s := &Server{ledger: NewLedger(limits), log: log.WithField("listen", addr), overloadLog: rate.Sometimes{Interval: overloadLogInterval}}
	var err error
	s.listener, err = listen(addr, s.ledger)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.RequestTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         s.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s, nil
}

// Serve starts to serve h. It is called once, and returns at once.
func (s *Server) Serve(h http.Handler) {
	s.http.Handler = s.account(h)
	go func() {
		if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
			s.log.WithError(err).Error("HTTP server failed")
		}
	}()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counters returns the counters, which change concurrently.
func (s *Server) Counters() *Counters { return &s.ledger.counters }

// Shutdown stops accepting connections and returns when all requests are answered, or with an error
// when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections.
func (s *Server) Close() error {
	_ = s.listener.Close() // the server does not know it before Serve
	return s.http.Close()
}

type connKey struct{}

// connOf returns the connection of a request, nil if it does not come through a Server.
func connOf(req *http.Request) *conn {
	c, _ := req.Context().Value(connKey{}).(*conn)
	return c
}

// account returns a handler that tells the connection of each request when h begins and ends.
func (s *Server) account(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := connOf(req)
		hasBody := req.Body != http.NoBody
		c.beginRequest(req.Header, hasBody)
		body := &trackedBody{ReadCloser: req.Body, ended: !hasBody}
		tracked := req.WithContext(req.Context()) // net/http uses the body of req itself
		tracked.Body = body
		h.ServeHTTP(w, tracked)
		c.account.SetState(Waiting, time.Now())
		if !body.ended && !c.unread.Swap(true) {
			_ = c.SetReadDeadline(time.Now().Add(drainTimeout)) // it fails if the connection was closed
		}
	})
}

func (s *Server) stateChanged(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		c.(*conn).becomeIdle()
	}
	if state == http.StateClosed {
		s.logOverload()
	}
}

// trackedBody notes whether a request's body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}
