package trial

import (
	"net"
	"net/http"
	"sync"
)

// storeLink is one process's way to the store. Cutting it takes the store away
// from this process only, and keeps a process that dies from giving its leases
// back on the way out.
type storeLink struct {
	listener net.Listener
	server   *http.Server
	store    http.Handler

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newStoreLink(store http.Handler) (*storeLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &storeLink{listener: l, store: store, conns: make(map[net.Conn]struct{})}
	link.server = &http.Server{Handler: http.HandlerFunc(link.serve), ConnState: link.track}
	go func() { _ = link.server.Serve(l) }() // ends with close
	return link, nil
}

func (l *storeLink) url() string { return "http://" + l.listener.Addr().String() }

func (l *storeLink) serve(w http.ResponseWriter, r *http.Request) {
	if l.isCut() {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	l.store.ServeHTTP(w, r)
}

func (l *storeLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// setCut breaks all connections at once, those of watches included, and every
// call until it is set back.
func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *storeLink) track(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

func (l *storeLink) close() { _ = l.server.Close() }
