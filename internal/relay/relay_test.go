package relay

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// waitTimeout bounds each wait of a test.
const waitTimeout = 20 * time.Second

// echoServer starts a server that echoes each datagram, and returns its address.
func echoServer(c *qt.C) string {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { socket.Close() })
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := socket.ReadFrom(buf)
			if err != nil {
				return
			}
			socket.WriteTo(buf[:n], from)
		}
	}()
	return socket.LocalAddr().String()
}

func startRelay(c *qt.C) *Relay {
	r, err := New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(r.Close)
	c.Assert(r.SetUpstream(echoServer(c)), qt.IsNil)
	return r
}

func dial(c *qt.C, r *Relay) net.Conn {
	conn, err := net.Dial("udp", r.Addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	return conn
}

func exchange(c *qt.C, conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
	buf := make([]byte, 100)
	n, err := conn.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buf[:n]), qt.Equals, text)
}

func awaitDropped(c *qt.C, r *Relay, direction Direction, n int64) {
	for range waitTimeout / time.Millisecond {
		if r.Dropped(direction) >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("%d dropped, want %d", r.Dropped(direction), n)
}

func TestDropFlowsOneDirection(t *testing.T) {
	for _, direction := range BothDirections {
		c := qt.New(t)
		r := startRelay(c)
		existing := dial(c, r)
		exchange(c, existing, "before")
		c.Assert(r.DropFlows(direction), qt.Equals, 1)
		c.Assert(r.DropFlows(direction), qt.Equals, 0)
		_, err := existing.Write([]byte("lost"))
		c.Assert(err, qt.IsNil)
		awaitDropped(c, r, direction, 1)
		exchange(c, dial(c, r), "new flow")
		c.Assert(r.Dropped(ToUpstream)+r.Dropped(FromUpstream), qt.Equals, int64(1))
	}
}

func TestBlockDirectionIsReversible(t *testing.T) {
	c := qt.New(t)
	r := startRelay(c)
	conn := dial(c, r)
	r.BlockDirection(FromUpstream, true)
	_, err := conn.Write([]byte("lost"))
	c.Assert(err, qt.IsNil)
	awaitDropped(c, r, FromUpstream, 1)
	r.BlockDirection(FromUpstream, false)
	exchange(c, conn, "after")
}
