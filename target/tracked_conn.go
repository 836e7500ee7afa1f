package target

import (
	"errors"
	"net"
	"sync"
)

var errConnClosed = errors.New("target: connection is closed")

// trackedConn counts the writes on a connection, since net/http's error does not tell
// whether a request was sent before a reused connection broke.
//
// A write is counted before it reaches the socket, and closeAndCount refuses further
// writes before it returns the count, so that the transport cannot send a request that
// was already reported as not sent.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	closed bool
}

// Write implements net.Conn. It fails after closeAndCount.
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

// closeAndCount closes the connection to further writes and returns their number.
func (c *trackedConn) closeAndCount() uint64 {
	c.mu.Lock()
	c.closed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Conn.Close()
	return n
}
