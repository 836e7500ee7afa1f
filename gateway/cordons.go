package gateway

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// Two guards keep work out of a cordoned zone. The planner starts something only while its
// view of the cordons was confirmed a short time ago, so one that was cut off or paused
// starts nothing anywhere. An agent that was told of a cordon by a newer view than that of
// the orders refuses them, whichever planner sent them and however late they come.

// cordonsFresh says whether the cordons known were confirmed so lately that a start decided
// on them reaches its worker in time.
func (g *Gateway) cordonsFresh(now time.Duration) bool {
	cordons, ok := g.currentConfig.Cordons()
	return ok && now-cordons.ConfirmedAt < g.cordonDeadline()-cordonMargin
}

func (g *Gateway) cordonDeadline() time.Duration {
	if g.cfg.CordonDeadline == 0 {
		return DefaultCordonDeadline
	}
	return g.cfg.CordonDeadline
}

// cordonsForPeer returns what this gateway knows, for a peer.
func (g *Gateway) cordonsForPeer() *link.Cordons {
	cordons, ok := g.currentConfig.Cordons()
	if !ok {
		return nil
	}
	return &link.Cordons{
		Zones:    cordons.Zones,
		Revision: cordons.Revision,
		Age:      lease.BootTime() - cordons.ConfirmedAt,
	}
}

// mergePeerCordons takes what a peer knows. Its age is reckoned from before the question was sent.
func (g *Gateway) mergePeerCordons(reply *link.PeerReply, sent time.Duration) {
	if reply.Cordons == nil {
		return
	}
	g.currentConfig.UpdateCordons(catalog.Cordons{
		Zones:       reply.Cordons.Zones,
		Revision:    reply.Cordons.Revision,
		ConfirmedAt: sent - reply.Cordons.Age,
	})
}

// updateCordons tells the engine of other cordons.
func (t *term) updateCordons(c catalog.Cordons) { t.postEvent(engine.CordonsChanged{Cordons: c}) }

// withholdStarts takes the starts off orders where the cordons known are too old, and returns
// their outcomes. Stops and speeds are sent all the same.
func (t *term) withholdStarts(orders engine.Orders) (engine.Orders, []engine.StartResult) {
	if len(orders.Starts) == 0 || t.g.cordonsFresh(lease.BootTime()) {
		return orders, nil
	}
	t.g.counters.StartsWithheld.Add(int64(len(orders.Starts)))
	withheld := uniformReply(engine.Orders{Starts: orders.Starts}, engine.StartNotDelivered).Starts
	orders.Starts = nil
	return orders, withheld
}
