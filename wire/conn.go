package wire

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Conn is a connection over which both ends can call. It is safe for concurrent use.
type Conn struct {
	ep            *Endpoint
	quicConn      *quic.Conn
	onClose       func()
	peer          atomic.Pointer[Peer]
	calls         inflight
	streamCredits creditBatcher

	opened       time.Time
	lastReceived atomic.Int64 // nanoseconds since opened
	probing      atomic.Bool
	suspect      atomic.Bool  // changed with suspicionMu held
	suspectedAt  atomic.Int64 // nanoseconds since opened
	suspicionMu  sync.Mutex
	suspected    atomic.Pointer[chan struct{}] // closed while suspect is set, and replaced when it ends
	draining     chan struct{}
	drainingOnce sync.Once
}

func newConn(ep *Endpoint, quicConn *quic.Conn) *Conn {
	c := &Conn{
		ep:       ep,
		quicConn: quicConn,
		opened:   ep.now(),
		draining: make(chan struct{}),
	}
	c.renewSuspected()
	return c
}

// Peer returns the identity that the other end sent in Hello, or the zero value before
// Hello.
func (c *Conn) Peer() Peer {
	if p := c.peer.Load(); p != nil {
		return *p
	}
	return Peer{}
}

// RemoteAddr returns the UDP address of the other end.
func (c *Conn) RemoteAddr() string { return c.quicConn.RemoteAddr().String() }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.quicConn.Context().Done() }

// Suspected returns a channel that is closed when the connection is suspected, now or
// next, since a Ping is not answered: the path may have become unresponsive. Calls that
// can be made elsewhere need not wait any longer. A suspicion that has ended, because the
// peer was only busy, does not concern later calls.
func (c *Conn) Suspected() <-chan struct{} { return *c.suspected.Load() }

// Draining returns a channel that is closed when either end starts to drain the
// connection, which then accepts no new calls.
func (c *Conn) Draining() <-chan struct{} { return c.draining }

// LastReceived returns the time at which bytes of a message from the peer last arrived.
// QUIC acknowledgements don't count.
func (c *Conn) LastReceived() time.Time {
	return c.opened.Add(time.Duration(c.lastReceived.Load()))
}

// Usable reports whether new calls can be made: the connection is open, not draining
// and not suspected.
func (c *Conn) Usable() bool {
	return c.quicConn.Context().Err() == nil && !c.calls.isStopped() && !c.suspect.Load()
}

// OutstandingCalls returns the number of calls that wait for their replies.
func (c *Conn) OutstandingCalls() int { return c.calls.count() }

// Close closes the connection at once. Outstanding calls of both ends fail.
func (c *Conn) Close() {
	c.close(closeNormal, "closed")
}

func (c *Conn) close(code quic.ApplicationErrorCode, text string) {
	c.calls.stop()
	c.quicConn.CloseWithError(code, text)
}

// acceptStreams serves the peer's exchanges until the connection ends. It runs in the
// endpoint's tomb, which therefore is alive and accepts further goroutines.
func (c *Conn) acceptStreams() error {
	defer c.onClose()
	defer c.ep.unregister(c)
	for {
		stream, err := c.quicConn.AcceptStream(c.quicConn.Context())
		if err != nil {
			c.calls.stop()
			return nil
		}
		c.ep.tomb.Go(func() error {
			defer c.streamCredits.add(stream)
			c.serveStream(stream)
			return nil
		})
	}
}

func (c *Conn) markReceived() {
	c.lastReceived.Store(int64(c.ep.now().Sub(c.opened)))
	if c.suspect.Load() {
		c.endSuspicion()
	}
}

func (c *Conn) beginSuspicion() {
	c.suspicionMu.Lock()
	defer c.suspicionMu.Unlock()
	if c.suspect.Load() {
		return
	}
	c.suspectedAt.Store(int64(c.ep.now().Sub(c.opened)))
	c.suspect.Store(true)
	close(*c.suspected.Load())
}

func (c *Conn) endSuspicion() {
	c.suspicionMu.Lock()
	defer c.suspicionMu.Unlock()
	if c.suspect.Load() {
		c.suspect.Store(false)
		c.renewSuspected()
	}
}

func (c *Conn) renewSuspected() {
	suspected := make(chan struct{})
	c.suspected.Store(&suspected)
}

// beginDrain rejects new calls and returns a channel that is closed when no call is
// outstanding.
func (c *Conn) beginDrain() <-chan struct{} {
	c.drainingOnce.Do(func() { close(c.draining) })
	return c.calls.stop()
}

// activityReader calls markReceived whenever bytes of a message arrive.
type activityReader struct {
	c      *Conn
	stream *quic.Stream
}

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if n > 0 {
		r.c.markReceived()
	}
	return n, err
}
