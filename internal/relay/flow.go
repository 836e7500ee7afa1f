package relay

import (
	"net"
	"sync/atomic"
)

// flow holds the socket that forwards the datagrams of one source address to the upstream.
type flow struct {
	upstream *net.UDPConn
	dropped  [directionCount]atomic.Bool
}

// drop makes the flow drop all datagrams of the directions, and reports whether any of them was
// not dropped before.
func (f *flow) drop(directions []Direction) bool {
	changed := false
	for _, d := range directions {
		if !f.dropped[d].Swap(true) {
			changed = true
		}
	}
	return changed
}
