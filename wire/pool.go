package wire

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Backoff of redials; both are jittered by half.
const (
	redialMin = 50 * time.Millisecond
	redialMax = 5 * time.Second
)

// Pool keeps one live connection to each peer address that it was asked for.
// It redials with jittered backoff, and dials a new connection in parallel as
// soon as the current one is suspected; new calls move there, old ones may
// still finish. It is safe for concurrent use.
type Pool struct {
	ep     *Endpoint
	mu     sync.Mutex
	closed bool
	conns  map[string]*pooledConn
}

// NewPool returns a pool of connections dialled by ep. Close it before ep.
func NewPool(ep *Endpoint) *Pool {
	return &Pool{ep: ep, conns: map[string]*pooledConn{}}
}

// Conn returns a usable connection to addr. It waits for the first attempt to
// dial; once an attempt has failed it fails at once with that error, until a
// later attempt succeeds, so that a caller can turn to another peer. A peer that
// is gone is noticed only after HandshakeTimeout: give ctx a shorter deadline
// where that matters. Errors match ErrNotSent.
func (p *Pool) Conn(ctx context.Context, addr string) (*Conn, error) {
	conn, err := p.get(addr)
	if err != nil {
		return nil, err
	}
	return conn.waitUsable(ctx)
}

// Call sends msg to addr as Conn.Call does. A connection that ended before msg
// was handled is replaced once; nothing else is retried.
func (p *Pool) Call(ctx context.Context, addr string, msg any) (any, error) {
	c, err := p.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	reply, err := c.Call(ctx, msg)
	if err == nil || !errors.Is(err, ErrNotHandled) || c.Usable() || ctx.Err() != nil {
		return reply, err
	}
	c, err = p.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, msg)
}

// Remove closes the connection to addr gracefully and stops redialling it.
func (p *Pool) Remove(addr string) {
	p.mu.Lock()
	conn := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if conn != nil {
		conn.close()
	}
}

// Drain stops redialling addr and closes the connection once the calls of both
// ends have ended, however long they take. It returns when that is done, or with
// ctx's error: the connection stays open then.
func (p *Pool) Drain(ctx context.Context, addr string) error {
	p.mu.Lock()
	conn := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if conn == nil {
		return nil
	}
	return conn.drain(ctx)
}

// Close stops all dialling. Connections stay open until their endpoint drains
// or closes.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[string]*pooledConn{}
	p.closed = true
	p.mu.Unlock()
	for _, conn := range conns {
		conn.stopDialing()
	}
}

func (p *Pool) get(addr string) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, callNotHandled(ErrClosed)
	}
	conn := p.conns[addr]
	if conn == nil {
		conn = newLink(p.ep, addr)
		p.conns[addr] = conn
	}
	return conn, nil
}
