package wire

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Backoff of redials; both are jittered by half.
const (
	redialFirst = 50 * time.Millisecond
	redialMax   = 5 * time.Second
)

// Pool keeps one live connection to each peer address that it was asked for.
// It redials with jittered backoff, and dials a new connection in parallel as
// soon as the current one is suspected; new calls move there, old ones may
// still finish. It is safe for concurrent use.
type Pool struct {
	ep     *Endpoint
	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewPool returns a pool of connections dialled by ep. Close it before ep.
func NewPool(ep *Endpoint) *Pool {
	return &Pool{ep: ep, links: map[string]*link{}}
}

// Conn returns a usable connection to addr. It waits for the first attempt to
// dial; once an attempt has failed it fails at once with that error, until a
// later attempt succeeds, so that a caller can turn to another peer. A peer that
// is gone is noticed only after HandshakeTimeout: give ctx a shorter deadline
// where that matters. Errors match ErrNotSent.
func (p *Pool) Conn(ctx context.Context, addr string) (*Conn, error) {
	l, err := p.link(addr)
	if err != nil {
		return nil, err
	}
	return l.conn(ctx)
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
	l := p.links[addr]
	delete(p.links, addr)
	p.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// Drain stops redialling addr and closes the connection once the calls of both
// ends have ended, however long they take. It returns when that is done, or with
// ctx's error: the connection stays open then.
func (p *Pool) Drain(ctx context.Context, addr string) error {
	p.mu.Lock()
	l := p.links[addr]
	delete(p.links, addr)
	p.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.release(ctx)
}

// Close stops all dialling. Connections stay open until their endpoint drains
// or closes.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = map[string]*link{}
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.kill()
	}
}

func (p *Pool) link(addr string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, notSent(ErrClosed)
	}
	l := p.links[addr]
	if l == nil {
		l = newLink(p.ep, addr)
		p.links[addr] = l
	}
	return l, nil
}
