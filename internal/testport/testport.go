// Package testport finds loopback addresses for test processes that are told where to
// listen before they start.
//
// A port that the kernel gave out and that was closed again may be given to any socket
// until its owner-to-be binds it; tests that open many connections beside each other did
// meet that. So ports come from below the kernel's own range, each caller has a range of
// its own, and none is handed out twice by a process.
package testport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Range is the ports from From up to To, which must lie below 32768, where the kernel's
// own choice begins.
type Range struct {
	From, To int
}

// Ranges of the packages that need ports. They are disjoint, since packages are tested at
// the same time.
var (
	Scripts  = Range{10_000, 20_000}
	Platform = Range{20_000, 30_000}
	Racks    = Range{30_000, 31_500}
	Capacity = Range{31_500, 32_700}
)

var (
	mu   sync.Mutex
	next = map[Range]int{}
)

// FreeAddr returns an address on loopback whose port is free for TCP and UDP, and that this
// process was not given before. It panics where the whole range is taken.
func (r Range) FreeAddr() string {
	mu.Lock()
	defer mu.Unlock()
	offset, found := next[r]
	if !found {
		offset = rand.IntN(r.To - r.From)
	}
	for range r.To - r.From {
		addr := fmt.Sprintf("127.0.0.1:%d", r.From+offset%(r.To-r.From))
		offset++
		next[r] = offset
		if isFree(addr) {
			return addr
		}
	}
	panic("testport: every port is taken")
}

func isFree(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
