package target

import (
	"errors"
	"net"
	"sync"
)

var errConnClosed = errors.New("target: connection is sealed")

// trackedConn proves whether bytes of a request were written.
//
// The failure it guards against: a reused connection turns out dead, and
// net/http's error doesn't say if the request went out. The agent would have to
// tell the caller "unknown" for a request that never left. Writes are counted
// before they reach the socket, and seal ends all further writes before the
// count is read, so that no late write of the transport can follow the proof.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	closed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, errConnClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeAndCount ends all writes and returns how many there were.
func (c *trackedConn) closeAndCount() uint64 {
	c.mu.Lock()
	c.closed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Conn.Close()
	return n
}
