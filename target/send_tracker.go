package target

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sendTracker records the connections that a request was given, to prove whether any of
// its bytes were sent.
type sendTracker struct {
	mu        sync.Mutex
	uses      []connUse
	untracked bool // a connection is not a trackedConn, so nothing can be proved
}

// connUse is a connection with the number of its writes when the request received it.
type connUse struct {
	conn         *trackedConn
	writesBefore uint64
}

// withTrace returns a context that records the connections of a request in t.
func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	t.uses = append(t.uses, connUse{conn, conn.writeCount()})
}

// notSent closes the request's connections and reports whether none of them has sent a
// byte of it. Call it only after the request has failed.
func (t *sendTracker) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	none := !t.untracked
	for _, use := range t.uses {
		if use.conn.closeAndCount() != use.writesBefore {
			none = false
		}
	}
	return none
}
