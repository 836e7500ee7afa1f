package wire

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
)

// relay is a stand-in for a device between two ends that keeps track of flows:
// it forwards datagrams to one upstream address and can lose the flows it
// knows, while new ones work.
type relay struct {
	socket   *net.UDPConn
	upstream *net.UDPAddr
	wg       sync.WaitGroup
	muted    atomic.Bool // loses what comes back from upstream
	mu       sync.Mutex
	flows    map[netip.AddrPort]*flow
}

type flow struct {
	up   *net.UDPConn
	lost bool
}

func startRelay(c *qt.C, upstream string) *relay {
	addr, err := net.ResolveUDPAddr("udp", upstream)
	c.Assert(err, qt.IsNil)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	r := &relay{socket: socket, upstream: addr, flows: map[netip.AddrPort]*flow{}}
	r.wg.Go(r.run)
	c.Cleanup(r.stop)
	return r
}

func (r *relay) addr() string { return r.socket.LocalAddr().String() }

// loseFlows makes every flow known so far silent for good, in both directions.
func (r *relay) loseFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.lost = true
	}
}

func (r *relay) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil && !r.isLost(f) {
			f.up.Write(buf[:n])
		}
	}
}

func (r *relay) flow(from netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from]; f != nil {
		return f
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

func (r *relay) back(f *flow, to netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, err := f.up.Read(buf)
		if err != nil {
			return
		}
		if !r.isLost(f) && !r.muted.Load() {
			r.socket.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}

func (r *relay) isLost(f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.lost
}

func (r *relay) stop() {
	r.socket.Close()
	r.mu.Lock()
	for _, f := range r.flows {
		f.up.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
