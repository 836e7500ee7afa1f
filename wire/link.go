package wire

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"
)

// link keeps the connection to one address. Its goroutine dials; callers read
// the current state under mu.
type link struct {
	ep   *Endpoint
	addr string
	tomb tomb.Tomb

	mu      sync.Mutex
	current *Conn
	lastErr error
	changed chan struct{} // closed and replaced on every change
}

func newLink(ep *Endpoint, addr string) *link {
	l := &link{ep: ep, addr: addr, changed: make(chan struct{})}
	l.tomb.Go(l.loop)
	return l
}

// conn waits for a usable connection as long as no dial has failed since the
// last one that succeeded.
func (l *link) conn(ctx context.Context) (*Conn, error) {
	for {
		c, changed, err := l.state()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, notSent(context.Cause(ctx))
		case <-l.tomb.Dying():
			return nil, notSent(ErrClosed)
		}
	}
}

// state returns a usable connection, or an error, or what to wait for. A
// connection that ended a moment ago is not usable although the loop has not
// begun to dial yet; changed tells when that dial has an end.
func (l *link) state() (*Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.Usable() {
		return l.current, nil, nil
	}
	if l.lastErr != nil {
		return nil, nil, l.lastErr
	}
	return nil, l.changed, nil
}

// update changes the state and wakes the waiting callers.
func (l *link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) loop() error {
	var old *Conn
	for {
		c := l.dial()
		if c == nil {
			return nil
		}
		l.update(func() { l.current, l.lastErr = c, nil })
		l.retire(old)
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

// dial tries until it has a connection; nil when the link is stopped.
func (l *link) dial() *Conn {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialFirst
	wait.MaxInterval = redialMax
	ctx := l.tomb.Context(context.Background())
	for {
		c, err := l.ep.Dial(ctx, l.addr)
		if err == nil {
			return c
		}
		l.update(func() { l.lastErr = err })
		select {
		case <-time.After(wait.NextBackOff()):
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// retire closes a replaced connection when its calls have ended. One that is
// silent for good is closed by the endpoint's monitor, which also ends this
// goroutine's wait.
func (l *link) retire(c *Conn) {
	if c == nil {
		return
	}
	l.tomb.Go(func() error {
		c.Drain(l.tomb.Context(context.Background()))
		return nil
	})
}

func (l *link) kill() {
	l.tomb.Kill(nil)
	l.tomb.Wait()
}

// stop ends dialling and leaves the connection within the suspicion grace.
func (l *link) stop() {
	l.kill()
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

// release ends dialling and leaves the connection without cutting a call.
func (l *link) release(ctx context.Context) error {
	l.kill()
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.Drain(ctx)
}
