package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headerLineMemory is the memory of a parsed header line, in bytes, beside its text: an entry of
	// a map that has grown to twice its size, and two strings.
	headerLineMemory = 128
	// headerByteMemory is the memory for each byte of header text, in halves of a byte.
	headerByteMemory = 3
	// readerBuffer is the size of the buffer through which net/http reads headers, in bytes.
	readerBuffer = 4 << 10
	// replyTimeout limits the time for which a client does not take any part of its reply.
	replyTimeout = 5 * time.Second
	// lingerTimeout and maxLingerBytes limit what is read before a connection is closed.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// headerMemory returns the estimated memory of header text after it is parsed.
func headerMemory(size, lines int) int64 {
	return int64(size)*headerByteMemory/2 + int64(lines)*headerLineMemory
}

// parsedMemory returns the same of headers that were parsed.
func parsedMemory(h http.Header) int64 {
	size, lines := 0, 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
		lines += len(values)
	}
	return headerMemory(size, lines)
}

// conn is a client's connection. While headers are expected, it reserves the memory that net/http needs
// to parse them before it hands out what it has read.
type conn struct {
	*net.TCPConn
	account *Account
	turn    turn
	// inRequest is set from when the headers of a request were parsed until it is answered.
	inRequest atomic.Bool
	// unread is set if the rest of a request's body is not going to be read.
	unread atomic.Bool
	// buffered is the memory of headers that may lie in the buffer of net/http behind a request.
	buffered atomic.Int64
}

// Read implements net.Conn. What was read is processed until the next call of Read or Write.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return c.readAhead(p)
	}
	c.turn.end()
	if c.account.Evicted() {
		return 0, errNoRoom
	}
	n, err := c.TCPConn.Read(p)
	if c.account.Evicted() {
		return 0, errNoRoom
	}
	if n == 0 {
		return n, err
	}
	now := time.Now()
	if c.account.Received(now) {
		c.turn.had = 0
	}
	memory := headerMemory(n, bytes.Count(p[:n], newline))
	if n > readerBuffer {
		memory = 0 // it went past the buffer, so it is a body
	}
	c.buffered.Store(memory)
	if !c.inRequest.Load() && c.account.Reserve(memory, now) != nil {
		c.refuseHeaders()
		return 0, errNoRoom
	}
	if c.turn.begin(c.account.evicted) != nil {
		return 0, errNoRoom
	}
	return n, err
}

// errNoRoom is an error after which net/http sends no reply.
var errNoRoom = &net.OpError{Op: "read", Net: "tcp", Err: ErrOverloaded}

// readAhead reads the first byte of the next request. net/http does that while a request is served.
func (c *conn) readAhead(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.buffered.Add(headerMemory(n, bytes.Count(p[:n], newline)))
	return n, err
}

// overloadedReply is sent instead of a reply to a request that was not read.
const overloadedReply = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseHeaders replies to a request whose headers there is no room for.
func (c *conn) refuseHeaders() {
	_, _ = c.Write([]byte(overloadedReply)) // the client may be gone
	c.unread.Store(true)
}

var newline = []byte{'\n'}

// Write implements net.Conn. It limits the time for which the client does not read.
func (c *conn) Write(p []byte) (int, error) {
	c.turn.end()
	if err := c.SetWriteDeadline(time.Now().Add(replyTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn. If the client may still be sending what was not read, it reads that for a
// short time: otherwise the kernel resets the connection, and the client may lose its reply.
func (c *conn) Close() error {
	c.turn.end()
	if c.unread.Load() && !c.account.Evicted() && c.CloseWrite() == nil {
		c.account.ReleaseAllBut(0)
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))   // it fails if the connection was closed
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes) // the client may be gone
	}
	err := c.TCPConn.Close()
	c.account.Close()
	return err
}

// beginRequest is called when the headers of a request were parsed. If they were sent together with
// another request, the request waits for a turn of its own.
func (c *conn) beginRequest(h http.Header, hasBody bool) {
	c.inRequest.Store(true)
	c.account.ReleaseAllBut(max(parsedMemory(h), c.buffered.Load()))
	if !hasBody {
		c.account.SetState(Serving, time.Now())
	}
	_ = c.turn.begin(c.account.evicted) // the reply of one that was evicted goes nowhere
	c.turn.end()
}

// becomeIdle is called when a request was answered. It closes the connection if there is no room for
// what the client may have sent already.
func (c *conn) becomeIdle() {
	c.unread.Store(false)
	now := time.Now()
	buffered := c.buffered.Load()
	held := c.account.ReleaseAllBut(buffered)
	c.account.SetState(Idle, now)
	c.inRequest.Store(false)
	if c.account.Reserve(buffered-held, now) != nil {
		_ = c.TCPConn.Close() // net/http notices it with its next read
	}
}
