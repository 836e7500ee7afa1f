package relay

import (
	"net"
	"sync/atomic"
)

// flow is one source address and its own socket towards the upstream.
type flow struct {
	up   *net.UDPConn
	lost [directions]atomic.Bool
}

// lose makes the flow lose what goes these ways, and says whether that is new.
func (f *flow) lose(ways []Direction) bool {
	changed := false
	for _, d := range ways {
		if !f.lost[d].Swap(true) {
			changed = true
		}
	}
	return changed
}
