package trial

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// datagram is larger than any that QUIC sends on loopback.
const datagram = 64 << 10

// Relay forwards datagrams to one upstream address, as a device between two
// ends that keeps track of flows. It can lose the flows it knows, for good,
// while new ones work. It is safe for concurrent use.
type Relay struct {
	socket *net.UDPConn
	wg     sync.WaitGroup

	mu       sync.Mutex
	upstream *net.UDPAddr // nil: nobody is there
	flows    map[netip.AddrPort]*flow
	closed   bool
}

// flow is one source address and its own socket towards the upstream.
type flow struct {
	up   *net.UDPConn
	lost atomic.Bool
}

// NewRelay returns a running relay without an upstream. Close ends it.
func NewRelay() (*Relay, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{socket: socket, flows: make(map[netip.AddrPort]*flow)}
	r.wg.Go(r.run)
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

// SilenceFlows makes every flow known so far silent for good, in both
// directions. Neither end is told.
func (r *Relay) SilenceFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0
	for _, f := range r.flows {
		if !f.lost.Swap(true) {
			lost++
		}
	}
	return lost
}

// Close ends the relay and all of its flows.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.socket.Close()
	for _, f := range r.flows {
		_ = f.up.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) run() {
	buf := make([]byte, datagram)
	for {
		n, from, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil && !f.lost.Load() {
			_, _ = f.up.Write(buf[:n]) // a lost datagram is what UDP allows
		}
	}
}

func (r *Relay) flow(from netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from]; f != nil {
		return f
	}
	if r.closed || r.upstream == nil {
		return nil
	}
	up, err := net.DialUDP("udp", nil, r.upstream)
	if err != nil {
		return nil
	}
	f := &flow{up: up}
	r.flows[from] = f
	r.wg.Go(func() { r.back(f, from) })
	return f
}

// back forwards from the upstream until the flow's socket is closed.
func (r *Relay) back(f *flow, to netip.AddrPort) {
	buf := make([]byte, datagram)
	for {
		n, err := f.up.Read(buf)
		if isClosed(err) {
			return
		}
		if err == nil && !f.lost.Load() {
			_, _ = r.socket.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}
