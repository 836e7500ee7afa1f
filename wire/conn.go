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
	ep    *Endpoint
	q     *quic.Conn
	onEnd func()
	peer  atomic.Pointer[Peer]
	calls inflight
	used  credits

	opened    time.Time
	heard     atomic.Int64 // since opened
	probing   atomic.Bool
	suspect   atomic.Bool
	suspected chan struct{}
	suspectAt atomic.Int64 // since opened
	once      sync.Once
	away      chan struct{}
	awayOnce  sync.Once
}

func newConn(ep *Endpoint, q *quic.Conn) *Conn {
	return &Conn{
		ep:        ep,
		q:         q,
		opened:    ep.now(),
		suspected: make(chan struct{}),
		away:      make(chan struct{}),
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
func (c *Conn) RemoteAddr() string { return c.q.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.q.Context().Done() }

// Suspected is closed when a Ping first stays unanswered: the path may have
// gone silent. Calls that can be tried elsewhere need not wait longer.
func (c *Conn) Suspected() <-chan struct{} { return c.suspected }

// Draining is closed when either end is about to close the connection; it
// takes no new calls.
func (c *Conn) Draining() <-chan struct{} { return c.away }

// LastReceived returns when the peer's process was last heard: when bytes of one
// of its messages arrived. QUIC's own acknowledgements don't count.
func (c *Conn) LastReceived() time.Time {
	return c.opened.Add(time.Duration(c.heard.Load()))
}

// Usable says whether a new call is worth sending: the connection is open,
// takes calls and is not suspected now.
func (c *Conn) Usable() bool {
	return c.q.Context().Err() == nil && !c.calls.isStopped() && !c.suspect.Load()
}

// OutstandingCalls returns the number of calls that wait for their reply.
func (c *Conn) OutstandingCalls() int { return c.calls.count() }

// Close closes the connection at once: outstanding calls of both ends fail.
func (c *Conn) Close() {
	c.close(closeNormal, "closed")
}

func (c *Conn) close(code quic.ApplicationErrorCode, text string) {
	c.calls.stop()
	c.q.CloseWithError(code, text)
}

// loop accepts the peer's exchanges until the connection ends. It runs in the
// endpoint's tomb, and so may add to it.
func (c *Conn) loop() error {
	defer c.onEnd()
	defer c.ep.forget(c)
	for {
		stream, err := c.q.AcceptStream(c.q.Context())
		if err != nil {
			c.calls.stop()
			return nil
		}
		c.ep.tomb.Go(func() error {
			defer c.used.add(stream)
			c.serve(stream)
			return nil
		})
	}
}

func (c *Conn) hear() {
	c.heard.Store(int64(c.ep.now().Sub(c.opened)))
	if c.suspect.Load() {
		c.suspect.Store(false)
	}
}

// leaving refuses new calls and returns a channel that is closed when none is
// outstanding.
func (c *Conn) leaving() <-chan struct{} {
	c.awayOnce.Do(func() { close(c.away) })
	return c.calls.stop()
}

// heardReader notes every arrival of application bytes.
type heardReader struct {
	c      *Conn
	stream *quic.Stream
}

func (r heardReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if n > 0 {
		r.c.hear()
	}
	return n, err
}
