package wire

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Backoff of redials. Each delay is randomised by up to half.
const (
	redialMin = 50 * time.Millisecond
	redialMax = 5 * time.Second
)

// Pool keeps one connection to each requested peer address. It redials with jittered
// exponential backoff. When a connection is suspected it dials a new one; new calls use
// that one, and running calls may still finish on the old one. It is safe for
// concurrent use.
type Pool struct {
	ep     *Endpoint
	mu     sync.Mutex
	closed bool
	conns  map[string]*pooledConn
}

// NewPool returns a Pool of connections dialled by ep. Close it before ep.
func NewPool(ep *Endpoint) *Pool {
	return &Pool{ep: ep, conns: map[string]*pooledConn{}}
}

// Conn returns a usable connection to addr. It waits for the first dial. After a dial
// has failed it returns that error at once until a later dial succeeds, so that a
// caller can turn to another peer. An unreachable peer is detected only after
// HandshakeTimeout; use a ctx with a shorter deadline where that matters. Errors match
// ErrNotHandled.
func (p *Pool) Conn(ctx context.Context, addr string) (*Conn, error) {
	conn, err := p.get(addr)
	if err != nil {
		return nil, err
	}
	return conn.waitUsable(ctx)
}

// Call sends msg to addr like Conn.Call. If the connection ended before msg was
// handled, it is replaced once; nothing else is retried.
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

// Remove stops redialling addr and closes the connection, gracefully within
// SuspectTimeout.
func (p *Pool) Remove(addr string) {
	p.mu.Lock()
	conn := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if conn != nil {
		conn.close()
	}
}

// Drain stops redialling addr and drains the connection, however long its calls take.
// If ctx ends first, it returns ctx's error and the connection stays open.
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

// Close stops dialling. Connections stay open until the endpoint is drained or closed.
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
		conn = newPooledConn(p.ep, addr)
		p.conns[addr] = conn
	}
	return conn, nil
}
