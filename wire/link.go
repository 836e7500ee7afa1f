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
	l := &pooledConn{ep: ep, addr: addr, changed: make(chan struct{})}
	l.tomb.Go(l.run)
	return l
}

// waitUsable waits for a usable connection as long as no dial has failed since the
// last one that succeeded.
func (l *pooledConn) waitUsable(ctx context.Context) (*Conn, error) {
	for {
		c, changed, err := l.usable()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, callNotHandled(context.Cause(ctx))
		case <-l.tomb.Dying():
			return nil, callNotHandled(ErrClosed)
		}
	}
}

// usable returns a usable connection, or an error, or what to wait for. A
// connection that ended a moment ago is not usable although the loop has not
// begun to dial yet; changed tells when that dial has an end.
func (l *pooledConn) usable() (*Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.Usable() {
		return l.current, nil, nil
	}
	if l.dialErr != nil {
		return nil, nil, l.dialErr
	}
	return nil, l.changed, nil
}

// setState changes the state and wakes the waiting callers.
func (l *pooledConn) setState(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *pooledConn) run() error {
	var old *Conn
	for {
		c := l.dialUntilConnected()
		if c == nil {
			return nil
		}
		l.setState(func() { l.current, l.dialErr = c, nil })
		l.drainReplaced(old)
		old = c
		select {
		case <-c.Suspected():
		case <-c.Draining():
		case <-c.Done():
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// dialUntilConnected tries until it has a connection; nil when the link is stopped.
func (l *pooledConn) dialUntilConnected() *Conn {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialMin
	wait.MaxInterval = redialMax
	ctx := l.tomb.Context(context.Background())
	for {
		c, err := l.ep.Dial(ctx, l.addr)
		if err == nil {
			return c
		}
		l.setState(func() { l.dialErr = err })
		select {
		case <-time.After(wait.NextBackOff()):
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// drainReplaced closes a replaced connection when its calls have ended. One that is
// silent for good is closed by the endpoint's monitor, which also ends this
// goroutine's wait.
func (l *pooledConn) drainReplaced(c *Conn) {
	if c == nil {
		return
	}
	l.tomb.Go(func() error {
		c.Drain(l.tomb.Context(context.Background()))
		return nil
	})
}

func (l *pooledConn) stopDialing() {
	l.tomb.Kill(nil)
	l.tomb.Wait()
}

// close ends dialling and leaves the connection within the suspicion grace.
func (l *pooledConn) close() {
	l.stopDialing()
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.ep.cfg.SuspectTimeout)
	defer cancel()
	if c.Drain(ctx) != nil {
		c.Close()
	}
}

// drain ends dialling and leaves the connection without cutting a call.
func (l *pooledConn) drain(ctx context.Context) error {
	l.stopDialing()
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.Drain(ctx)
}
