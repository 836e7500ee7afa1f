package target

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sendProof watches the connections one request was given.
type sendProof struct {
	mu     sync.Mutex
	conns  []grant
	opaque bool
}

type grant struct {
	conn   *trackedConn
	before uint64
}

// watch returns a context that reports connections to p.
func (p *sendProof) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.got})
}

func (p *sendProof) got(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		p.opaque = true
		return
	}
	p.conns = append(p.conns, grant{conn, conn.count()})
}

// notSent ends the request's connections and reports whether none of them
// carried a byte of it. Call it only after the request failed.
func (p *sendProof) notSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	none := !p.opaque
	for _, g := range p.conns {
		if g.conn.seal() != g.before {
			none = false
		}
	}
	return none
}
