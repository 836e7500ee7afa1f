package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
)

// Application error codes for closed connections and cancelled streams.
const (
	closeNormal       quic.ApplicationErrorCode = 0
	closeUnresponsive quic.ApplicationErrorCode = 1
	closeNoHello      quic.ApplicationErrorCode = 2
	streamCancelled   quic.StreamErrorCode      = 1
)

// Endpoint accepts connections on one UDP socket and dials others, each from its own
// socket. It is safe for concurrent use.
//
// One tomb owns its goroutines: the accept loop, the liveness monitor, and for each
// connection a loop and its exchanges.
type Endpoint struct {
	cfg           Config
	id            Identity
	handler       Handler
	socket        net.PacketConn
	transport     *quic.Transport
	listener      *quic.Listener
	quicConfig    *quic.Config
	handling      inflight
	acceptedConns atomic.Int64
	acceptLimiter *rate.Limiter

	tomb   tomb.Tomb
	mu     sync.Mutex
	closed bool
	conns  map[*Conn]struct{}
}

// Listen opens an endpoint with the default Config.
func Listen(addr string, id Identity, h Handler) (*Endpoint, error) {
	return Config{}.Listen(addr, id, h)
}

// Listen opens an endpoint on addr, an IP address and port; port 0 selects a free one.
func (c Config) Listen(addr string, id Identity, h Handler) (*Endpoint, error) {
	c = c.withDefaults()
	socket, err := c.ListenPacket("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "open UDP socket")
	}
	ep := &Endpoint{
		cfg:           c,
		id:            id,
		handler:       h,
		socket:        socket,
		acceptLimiter: rate.NewLimiter(rate.Limit(c.AcceptRate), c.AcceptBurst),
		conns:         map[*Conn]struct{}{},
	}
	ep.quicConfig = ep.newQUICConfig()
	if err := ep.listen(); err != nil {
		socket.Close()
		return nil, err
	}
	ep.tomb.Go(ep.acceptLoop)
	ep.tomb.Go(ep.monitorLoop)
	return ep, nil
}

func (ep *Endpoint) listen() error {
	key, err := ep.id.statelessResetKey(ep.socket.LocalAddr().String())
	if err != nil {
		return eris.Wrap(err, "derive reset key")
	}
	resetKey := quic.StatelessResetKey(key)
	ep.transport = &quic.Transport{
		Conn:              ep.socket,
		StatelessResetKey: &resetKey,
		ConnContext:       ep.admitHandshake,
	}
	ep.listener, err = ep.transport.Listen(ep.id.tlsConfig(), ep.quicConfig)
	return eris.Wrap(err, "listen")
}

// newQUICConfig disables QUIC's keep-alive: an acknowledgement from the peer's QUIC
// stack does not prove that its process works, and would cost traffic on every idle
// connection. The idle timeout is only a fallback against leaked connections.
func (ep *Endpoint) newQUICConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       ep.cfg.HandshakeTimeout,
		MaxIdleTimeout:             max(idleTimeoutFloor, 4*ep.cfg.IdleProbeAfter),
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		RequireStreamCreditRelease: true,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnWindow,
	}
}

// admitHandshake rejects handshakes beyond the limits, and all while the endpoint drains,
// before their signatures are computed. Otherwise an availability zone whose agents
// reconnect at the same time would use all processors and delay running requests.
func (ep *Endpoint) admitHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if ep.isDraining() || int(ep.acceptedConns.Load()) >= ep.cfg.MaxConns || !ep.acceptLimiter.Allow() {
		return nil, ErrDraining
	}
	return ctx, nil
}

// Addr returns the address that the endpoint listens on.
func (ep *Endpoint) Addr() string { return ep.socket.LocalAddr().String() }

// Identity returns the endpoint's identity.
func (ep *Endpoint) Identity() Identity { return ep.id }

// Conns returns the open connections, accepted and dialled, in no particular order.
func (ep *Endpoint) Conns() []*Conn {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	conns := make([]*Conn, 0, len(ep.conns))
	for c := range ep.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close closes all connections and waits for the endpoint's goroutines. It cancels the
// contexts of running handlers and waits for them to return, so it must not be called
// from a Handler. Call Drain first for a graceful stop.
func (ep *Endpoint) Close() error {
	ep.beginClose()
	for _, c := range ep.Conns() {
		c.Close()
	}
	ep.listener.Close()
	err := ep.tomb.Wait()
	ep.transport.Close()
	ep.socket.Close()
	return err
}

// beginClose rejects new connections and ends the loops. closed is set before the tomb
// is killed, and register checks it under the same lock, so that no goroutine is added
// to a dead tomb, which would panic.
func (ep *Endpoint) beginClose() {
	ep.mu.Lock()
	ep.closed = true
	ep.mu.Unlock()
	ep.tomb.Kill(nil)
}

// register adds a connection and starts its loop. It returns false if the endpoint is
// closed.
func (ep *Endpoint) register(c *Conn) bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.closed {
		return false
	}
	ep.conns[c] = struct{}{}
	ep.tomb.Go(c.acceptStreams)
	return true
}

func (ep *Endpoint) unregister(c *Conn) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	delete(ep.conns, c)
}

func (ep *Endpoint) isDraining() bool { return ep.handling.isStopped() }

func (ep *Endpoint) acceptLoop() error {
	for {
		quicConn, err := ep.listener.Accept(context.Background())
		if err != nil {
			ep.beginClose()
			return nil
		}
		ep.acceptedConns.Add(1)
		c := newConn(ep, quicConn)
		c.onClose = func() { ep.acceptedConns.Add(-1) }
		if !ep.register(c) {
			c.Close()
			c.onClose()
		}
	}
}

// now returns the current time with its monotonic reading.
func (ep *Endpoint) now() time.Time { return time.Now() }
