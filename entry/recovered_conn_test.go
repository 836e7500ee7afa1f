package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/internal/relay"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// An agent that was too busy to answer a ping once goes on, and its reports arrive. The orders sent to it
// over the same connection must not be cancelled, or a gang would neither start nor end there.
func TestCallsOnRecoveredConnectionAreNotCancelled(t *testing.T) {
	c := qt.New(t)
	cfg := wire.Config{PingTimeout: 300 * time.Millisecond, BusyProbeAfter: 50 * time.Millisecond, IdleProbeAfter: 200 * time.Millisecond, SuspectTimeout: time.Minute}
	agent := listenAs(c, wire.Peer{ID: "a", Role: wire.RoleAgent, Incarnation: 1}, cfg,
		func(context.Context, *wire.Conn, any) (any, error) { return &wire.GangReply{}, nil })
	proxy, err := relay.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(proxy.Close)
	c.Assert(proxy.SetUpstream(agent.Addr()), qt.IsNil)
	conn, err := listenAs(c, wire.Peer{ID: "entry", Role: wire.RoleEntry}, cfg, nil).Dial(c.Context(), proxy.Addr())
	c.Assert(err, qt.IsNil)

	suspected := conn.Suspected()
	for _, direction := range relay.BothDirections {
		proxy.BlockDirection(direction, true)
	}
	<-suspected
	for _, direction := range relay.BothDirections {
		proxy.BlockDirection(direction, false)
	}
	for !conn.Usable() {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		_, err := callUnlessSuspected(c.Context(), conn, &wire.GangMessage{})
		c.Assert(err, qt.IsNil)
	}
}
