package wire

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Conn is one connection. Both ends may Call over it. It is safe for
// concurrent use.
type Conn struct {
	ep            *Endpoint
	quicConn      *quic.Conn
	onClose       func()
	peer          atomic.Pointer[Peer]
	calls         inflight
	streamCredits creditBatcher

	opened        time.Time
	lastReceived  atomic.Int64 // since opened
	probing       atomic.Bool
	suspect       atomic.Bool
	suspected     chan struct{}
	suspectedAt   atomic.Int64 // since opened
	suspectedOnce sync.Once
	draining      chan struct{}
	drainingOnce  sync.Once
}

func newConn(ep *Endpoint, quicConn *quic.Conn) *Conn {
	return &Conn{
		ep:        ep,
		quicConn:  quicConn,
		opened:    ep.now(),
		suspected: make(chan struct{}),
		draining:  make(chan struct{}),
	}
}

// Peer returns what the other end said of itself in Hello; the zero value
// before Hello.
func (c *Conn) Peer() Peer {
	if p := c.peer.Load(); p != nil {
		return *p
	}
	return Peer{}
}

// RemoteAddr returns the other end's UDP address.
func (c *Conn) RemoteAddr() string { return c.quicConn.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.quicConn.Context().Done() }

// Suspected is closed when a Ping first stays unanswered: the path may have
// gone silent. Calls that can be tried elsewhere need not wait longer.
func (c *Conn) Suspected() <-chan struct{} { return c.suspected }

// Draining is closed when either end is about to close the connection; it
// takes no new calls.
func (c *Conn) Draining() <-chan struct{} { return c.draining }

// LastReceived returns when the peer's process was last heard: when bytes of one
// of its messages arrived. QUIC's own acknowledgements don't count.
func (c *Conn) LastReceived() time.Time {
	return c.opened.Add(time.Duration(c.lastReceived.Load()))
}

// Usable says whether a new call is worth sending: the connection is open,
// takes calls and is not suspected now.
func (c *Conn) Usable() bool {
	return c.quicConn.Context().Err() == nil && !c.calls.isStopped() && !c.suspect.Load()
}

// OutstandingCalls returns the number of calls that wait for their reply.
func (c *Conn) OutstandingCalls() int { return c.calls.count() }

// Close closes the connection at once: outstanding calls of both ends fail.
func (c *Conn) Close() {
	c.close(closeNormal, "closed")
}

func (c *Conn) close(code quic.ApplicationErrorCode, text string) {
	c.calls.stop()
	c.quicConn.CloseWithError(code, text)
}

// acceptStreams accepts the peer's exchanges until the connection ends. It runs in the
// endpoint's tomb, and so may add to it.
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
		c.suspect.Store(false)
	}
}

// beginDrain refuses new calls and returns a channel that is closed when none is
// outstanding.
func (c *Conn) beginDrain() <-chan struct{} {
	c.drainingOnce.Do(func() { close(c.draining) })
	return c.calls.stop()
}

// activityReader notes every arrival of application bytes.
type activityReader struct {
	c      *Conn
	stream *quic.Stream
}

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if n > 0 {
		r.c.markReceived()
	}
	return n, err
}
