package trial

import (
	"net"
	"net/http"
	"sync"
)

// storeProxy is one process's way to the store. Cutting it takes the store away
// from this process only, and keeps a process that dies from giving its leases
// back on the way out.
type storeProxy struct {
	listener net.Listener
	server   *http.Server
	store    http.Handler

	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]struct{}
}

func newStoreProxy(store http.Handler) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &storeProxy{listener: l, store: store, conns: make(map[net.Conn]struct{})}
	link.server = &http.Server{Handler: http.HandlerFunc(link.serve), ConnState: link.trackConn}
	go func() { _ = link.server.Serve(l) }() // ends with close
	return link, nil
}

func (l *storeProxy) url() string { return "http://" + l.listener.Addr().String() }

func (l *storeProxy) serve(w http.ResponseWriter, r *http.Request) {
	if l.isPartitioned() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	l.store.ServeHTTP(w, r)
}

func (l *storeProxy) isPartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned
}

// setPartitioned breaks all connections at once, those of watches included, and every
// call until it is set back.
func (l *storeProxy) setPartitioned(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *storeProxy) trackConn(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

func (l *storeProxy) close() { _ = l.server.Close() }
