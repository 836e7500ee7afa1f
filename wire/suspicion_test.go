package wire

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
)

// isSuspected reports whether a call that begins now would be given up at once.
func isSuspected(c *Conn) bool {
	select {
	case <-c.Suspected():
		return true
	default:
		return false
	}
}

// A busy peer answers a Ping too late and then goes on. A connection that stays suspected although it is
// usable would get every later call cancelled, for as long as it is open.
func TestSuspicionEndsWithAnswer(t *testing.T) {
	c := qt.New(t)
	cfg := shortTimeouts
	cfg.SuspectTimeout = time.Minute
	server := openEndpoint(c, "agent", cfg, echo)
	proxy := startRelay(c, server.Addr())
	conn := dial(c, openEndpoint(c, "entry", cfg, echo), proxy.Addr())
	for range 2 {
		c.Assert(isSuspected(conn), qt.IsFalse)
		suspected := conn.Suspected()
		block(proxy, true)
		await(c, suspected)
		c.Assert(isSuspected(conn), qt.IsTrue)
		block(proxy, false)
		for deadline := time.Now().Add(20 * time.Second); !conn.Usable() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.Assert(conn.Usable(), qt.IsTrue)
		c.Assert(isSuspected(conn), qt.IsFalse)
	}
}

func block(r *relay.Relay, blocked bool) {
	for _, direction := range relay.BothDirections {
		r.BlockDirection(direction, blocked)
	}
}
