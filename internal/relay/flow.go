package relay

import (
	"net"
	"sync/atomic"
)

// flow is one source address and its own socket towards the upstream.
type flow struct {
	upstream *net.UDPConn
	dropped  [directionCount]atomic.Bool
}

// drop makes the flow drop what goes these ways, and says whether that is new.
func (f *flow) drop(directions []Direction) bool {
	changed := false
	for _, d := range directions {
		if !f.dropped[d].Swap(true) {
			changed = true
		}
	}
	return changed
}
