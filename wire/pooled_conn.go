package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

// pooledConn maintains the connection to one address. Its goroutine dials; callers read
// the state guarded by mu.
type pooledConn struct {
	ep   *Endpoint
	addr string
	tomb tomb.Tomb

	mu      sync.Mutex
	current *Conn
	dialErr error
	changed chan struct{} // closed and replaced on every change of state
}

func newPooledConn(ep *Endpoint, addr string) *pooledConn {
	p := &pooledConn{ep: ep, addr: addr, changed: make(chan struct{})}
	p.tomb.Go(p.run)
	return p
}

// waitUsable returns a usable connection. It waits for one unless a dial has failed
// since the last one that succeeded.
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

// usable returns a usable connection, an error, or a channel to wait for. After a
// connection has ended, there is neither a connection nor an error until the next dial
// has ended.
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

// setState applies change and wakes the waiting callers.
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

// dialUntilConnected dials until it succeeds. It returns nil if dialling is stopped.
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

// drainReplaced drains a replaced connection in the background. If it is unresponsive,
// the endpoint's monitor closes it, which also ends the drain.
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

// close stops dialling and drains the connection, but closes it after SuspectTimeout.
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

// drain stops dialling and drains the connection.
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
