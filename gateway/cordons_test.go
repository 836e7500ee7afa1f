package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

func newGatewayWithCordons(zones []string, revision int64, age time.Duration) *Gateway {
	g := &Gateway{currentConfig: catalog.NewCurrent()}
	g.currentConfig.UpdateCordons(catalog.Cordons{Zones: zones, Revision: revision, ConfirmedAt: lease.BootTime() - age})
	return g
}

// A planner that was paused or cut off from the store and its peers must not start work where
// it may have missed a cordon. Stops are sent regardless.
func TestStartsWithheldWhileCordonsStale(t *testing.T) {
	c := qt.New(t)
	run := workload.RunID{Number: 1}
	orders := engine.Orders{Starts: []engine.StartOrder{{Run: run}}, Stops: []workload.RunID{run}}
	for _, test := range []struct {
		g        *Gateway
		withheld bool
	}{
		{&Gateway{currentConfig: catalog.NewCurrent()}, true},
		{newGatewayWithCordons(nil, 1, time.Second), false},
		{newGatewayWithCordons(nil, 1, DefaultCordonDeadline-cordonMargin), true},
	} {
		remaining, withheld := (&term{g: test.g}).withholdStarts(orders)
		c.Check(len(withheld) == 1, qt.Equals, test.withheld)
		c.Check(len(remaining.Starts) == 0, qt.Equals, test.withheld)
		c.Check(remaining.Stops, qt.HasLen, 1)
		for _, r := range withheld {
			c.Check(r.Outcome, qt.Equals, engine.StartNotDelivered)
		}
	}
}

// A gateway that the store does not serve learns of cordons from a peer, and ignores older
// state.
func TestCordonsLearnedFromPeers(t *testing.T) {
	c := qt.New(t)
	g := newGatewayWithCordons(nil, 10, 10*time.Second)
	peer := newGatewayWithCordons([]string{"z1"}, 20, time.Second)
	sent := lease.BootTime()
	g.mergePeerCordons(&link.PeerReply{Cordons: peer.cordonsForPeer()}, sent)
	c.Check(g.cordonsFresh(sent), qt.IsTrue)
	g.mergePeerCordons(&link.PeerReply{Cordons: newGatewayWithCordons(nil, 15, 0).cordonsForPeer()}, sent)
	g.mergePeerCordons(&link.PeerReply{}, sent)
	known, _ := g.currentConfig.Cordons()
	c.Check(known.Zones, qt.DeepEquals, []string{"z1"})
	c.Check(known.Revision, qt.Equals, int64(20))
}
