package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

// pooledConn keeps the connection to one address. Its goroutine dials; callers read
// the current state under mu.
type pooledConn struct {
	ep   *Endpoint
	addr string
	tomb tomb.Tomb

	mu      sync.Mutex
	current *Conn
	dialErr error
	changed chan struct{} // closed and replaced on every change
}

func newLink(ep *Endpoint, addr string) *pooledConn {
	p := &pooledConn{ep: ep, addr: addr, changed: make(chan struct{})}
	p.tomb.Go(p.run)
	return p
}

// waitUsable waits for a usable connection as long as no dial has failed since the
// last one that succeeded.
func (p *pooledConn) waitUsable(ctx context.Context) (*Conn, error) {
	for {
		c, changed, err := p.usable()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, callNotHandled(context.Cause(ctx))
		case <-p.tomb.Dying():
			return nil, callNotHandled(ErrClosed)
		}
	}
}

// usable returns a usable connection, or an error, or what to wait for. A
// connection that ended a moment ago is not usable although the loop has not
// begun to dial yet; changed tells when that dial has an end.
func (p *pooledConn) usable() (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.Usable() {
		return p.current, nil, nil
	}
	if p.dialErr != nil {
		return nil, nil, p.dialErr
	}
	return nil, p.changed, nil
}

// setState changes the state and wakes the waiting callers.
func (p *pooledConn) setState(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pooledConn) run() error {
	var previous *Conn
	for {
		c := p.dialUntilConnected()
		if c == nil {
			return nil
		}
		p.setState(func() { p.current, p.dialErr = c, nil })
		p.drainReplaced(previous)
		previous = c
		select {
		case <-c.Suspected():
		case <-c.Draining():
		case <-c.Done():
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// dialUntilConnected tries until it has a connection; nil when the link is stopped.
func (p *pooledConn) dialUntilConnected() *Conn {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval = redialMin
	redialBackoff.MaxInterval = redialMax
	ctx := p.tomb.Context(context.Background())
	for {
		c, err := p.ep.Dial(ctx, p.addr)
		if err == nil {
			return c
		}
		p.setState(func() { p.dialErr = err })
		select {
		case <-time.After(redialBackoff.NextBackOff()):
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// drainReplaced closes a replaced connection when its calls have ended. One that is
// silent for good is closed by the endpoint's monitor, which also ends this
// goroutine's wait.
func (p *pooledConn) drainReplaced(c *Conn) {
	if c == nil {
		return
	}
	p.tomb.Go(func() error {
		c.Drain(p.tomb.Context(context.Background()))
		return nil
	})
}

func (p *pooledConn) stopDialing() {
	p.tomb.Kill(nil)
	p.tomb.Wait()
}

// close ends dialling and leaves the connection within the suspicion grace.
func (p *pooledConn) close() {
	p.stopDialing()
	p.mu.Lock()
	c := p.current
	p.mu.Unlock()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.ep.cfg.SuspectTimeout)
	defer cancel()
	if c.Drain(ctx) != nil {
		c.Close()
	}
}

// drain ends dialling and leaves the connection without cutting a call.
func (p *pooledConn) drain(ctx context.Context) error {
	p.stopDialing()
	p.mu.Lock()
	c := p.current
	p.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.Drain(ctx)
}
