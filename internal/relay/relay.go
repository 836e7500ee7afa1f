package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxDatagramSize exceeds the size of any datagram that QUIC sends on loopback.
const maxDatagramSize = 64 << 10

// Relay forwards datagrams between sources and one upstream. It is safe for concurrent use.
type Relay struct {
	socket  *net.UDPConn
	wg      sync.WaitGroup
	blocked [directionCount]atomic.Bool
	dropped [directionCount]atomic.Int64

	mu       sync.Mutex
	upstream *net.UDPAddr // nil: new flows are dropped
	flows    map[netip.AddrPort]*flow
	closed   bool
}

// New returns a running relay without an upstream. Close stops it.
func New() (*Relay, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{socket: socket, flows: make(map[netip.AddrPort]*flow)}
	r.wg.Go(r.forwardToUpstream)
	return r, nil
}

// Addr returns the address on which the relay receives.
func (r *Relay) Addr() string { return r.socket.LocalAddr().String() }

// SetUpstream sets the address to which new flows are forwarded. If addr is empty, they are
// dropped.
func (r *Relay) SetUpstream(addr string) error {
	var upstream *net.UDPAddr
	if addr != "" {
		var err error
		if upstream, err = net.ResolveUDPAddr("udp", addr); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream = upstream
	return nil
}

// DropFlows drops, for good and without notice to either end, all further datagrams of the
// flows known so far in these directions. It returns the number of flows that this changed.
func (r *Relay) DropFlows(directions ...Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := 0
	for _, f := range r.flows {
		if f.drop(directions) {
			changed++
		}
	}
	return changed
}

// BlockDirection drops all datagrams of a direction, those of new flows included, until it is
// called with false.
func (r *Relay) BlockDirection(direction Direction, blocked bool) {
	r.blocked[direction].Store(blocked)
}

// Dropped returns the number of datagrams dropped in a direction by DropFlows or BlockDirection.
func (r *Relay) Dropped(direction Direction) int64 { return r.dropped[direction].Load() }

// Close stops the relay and all of its flows.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.socket.Close()
	for _, f := range r.flows {
		_ = f.upstream.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) forwardToUpstream() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flowFor(from); f != nil && r.shouldForward(f, ToUpstream) {
			_, _ = f.upstream.Write(buf[:n]) // UDP may lose datagrams
		}
	}
}

// shouldForward reports whether a datagram of the flow is to be forwarded, and counts it as
// dropped if not.
func (r *Relay) shouldForward(f *flow, direction Direction) bool {
	if !f.dropped[direction].Load() && !r.blocked[direction].Load() {
		return true
	}
	r.dropped[direction].Add(1)
	return false
}

func (r *Relay) flowFor(from netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from]; f != nil {
		return f
	}
	if r.closed || r.upstream == nil {
		return nil
	}
	upstream, err := net.DialUDP("udp", nil, r.upstream)
	if err != nil {
		return nil
	}
	f := &flow{upstream: upstream}
	r.flows[from] = f
	r.wg.Go(func() { r.forwardFromUpstream(f, from) })
	return f
}

// forwardFromUpstream forwards datagrams from the upstream until the flow's socket is closed.
// It ignores other errors, such as those of an upstream that is gone.
func (r *Relay) forwardFromUpstream(f *flow, to netip.AddrPort) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, err := f.upstream.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.shouldForward(f, FromUpstream) {
			_, _ = r.socket.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
