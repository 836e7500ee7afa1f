package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxDatagramSize is larger than any that QUIC sends on loopback.
const maxDatagramSize = 64 << 10

// Relay is a running relay. It is safe for concurrent use.
type Relay struct {
	socket  *net.UDPConn
	wg      sync.WaitGroup
	blocked [directionCount]atomic.Bool
	dropped [directionCount]atomic.Int64

	mu       sync.Mutex
	upstream *net.UDPAddr // nil: nobody is there
	flows    map[netip.AddrPort]*flow
	closed   bool
}

// New returns a running relay without an upstream. Close ends it.
func New() (*Relay, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{socket: socket, flows: make(map[netip.AddrPort]*flow)}
	r.wg.Go(r.forwardToUpstream)
	return r, nil
}

// Addr is where the relay receives.
func (r *Relay) Addr() string { return r.socket.LocalAddr().String() }

// SetUpstream directs new flows to addr, or nowhere when it is empty.
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

// DropFlows makes every flow known so far lose for good what goes these ways. Neither
// end is told. It returns how many flows this changed.
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

// BlockDirection loses all that goes this way, of new flows too, until it is set back.
func (r *Relay) BlockDirection(direction Direction, blocked bool) {
	r.blocked[direction].Store(blocked)
}

// Dropped counts the datagrams that were lost on this way.
func (r *Relay) Dropped(direction Direction) int64 { return r.dropped[direction].Load() }

// Close ends the relay and all of its flows.
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
			_, _ = f.upstream.Write(buf[:n]) // a lost datagram is what UDP allows
		}
	}
}

// shouldForward says whether a datagram of the flow gets through, and counts one that
// doesn't.
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

// forwardFromUpstream forwards from the upstream until the flow's socket is closed. Other errors
// are news of an upstream that is gone, which nobody hears here.
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
