package trial

import (
	"net"
	"net/http"
	"sync"
)

// storeProxy is one process's connection to the store. Partitioning it cuts off this process
// only, and keeps a killed process from releasing its leases on shutdown.
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
	proxy := &storeProxy{listener: l, store: store, conns: make(map[net.Conn]struct{})}
	proxy.server = &http.Server{Handler: http.HandlerFunc(proxy.serve), ConnState: proxy.trackConn}
	go func() { _ = proxy.server.Serve(l) }() // returns after close
	return proxy, nil
}

func (p *storeProxy) url() string { return "http://" + p.listener.Addr().String() }

func (p *storeProxy) serve(w http.ResponseWriter, r *http.Request) {
	if p.isPartitioned() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	p.store.ServeHTTP(w, r)
}

func (p *storeProxy) isPartitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned
}

// setPartitioned closes all connections, including those of watches, and fails every call
// until it is reset.
func (p *storeProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	if !partitioned {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *storeProxy) trackConn(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
		p.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

func (p *storeProxy) close() { _ = p.server.Close() }
