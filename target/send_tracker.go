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
	untracked bool
}

type connUse struct {
	conn         *trackedConn
	writesBefore uint64
}

// withTrace returns a context that records the connections of a request in p.
func (p *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.gotConn})
}

func (p *sendTracker) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		p.untracked = true
		return
	}
	p.uses = append(p.uses, connUse{conn, conn.writeCount()})
}

// notSent closes the request's connections and reports whether none of them has sent a
// byte of it. Call it only after the request has failed.
func (p *sendTracker) notSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	none := !p.untracked
	for _, g := range p.uses {
		if g.conn.closeAndCount() != g.writesBefore {
			none = false
		}
	}
	return none
}
