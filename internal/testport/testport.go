// Package testport finds free loopback addresses for test processes that must know their
// listen address before they start.
//
// The kernel may hand out a port that was just closed to any other socket before the test
// process binds it. So the ports lie below the kernel's ephemeral range, each package has a
// range of its own, and a port is reused only after the whole range was handed out. Several
// processes may test the same package at once, so each claims the ports that it hands out.
package testport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Range holds the ports from From up to, but not including, To. To must be at most 32768, where
// the kernel's ephemeral range starts.
type Range struct {
	From, To int
}

// Ranges of the packages that need ports. They are disjoint, since packages are tested in
// parallel.
var (
	Scripts   = Range{10_000, 20_000}
	Platform  = Range{20_000, 29_000}
	Processes = Range{29_000, 30_000}
	Racks     = Range{30_000, 31_500}
	Capacity  = Range{31_500, 32_700}
)

var (
	mu   sync.Mutex
	next = map[Range]int{}
	// claims holds the claim on each port that this process has handed out.
	claims = map[int]net.Listener{}
)

// FreeAddr returns a loopback address whose port is free for TCP and UDP, and which no other
// process is given until this one exits. It goes through the range in order from a random
// start, and panics if no port is free.
func (r Range) FreeAddr() string {
	mu.Lock()
	defer mu.Unlock()
	offset, found := next[r]
	if !found {
		offset = rand.IntN(r.To - r.From)
	}
	for range r.To - r.From {
		port := r.From + offset%(r.To-r.From)
		offset++
		next[r] = offset
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if claim(port) && isFree(addr) {
			return addr
		}
	}
	panic("testport: no free port in the range")
}

// claim reserves a port among the processes that use this package, until this process exits.
// It returns false if another process has claimed the port. The claim is an abstract Unix
// socket, which the kernel removes with its process. The mutex is held.
func claim(port int) bool {
	if claims[port] != nil {
		return true
	}
	l, err := net.Listen("unix", fmt.Sprintf("@eelgrasshub-testport-%d", port))
	if err != nil {
		return false
	}
	claims[port] = l
	return true
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
