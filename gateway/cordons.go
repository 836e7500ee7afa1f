package gateway

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// Two checks keep work out of a cordoned zone. The planner starts work only if its cordons were
// confirmed recently, so a planner that was cut off or paused starts nothing. An agent that
// knows of a cordon newer than the one that orders were based on refuses the starts, no matter
// which planner sent them or how late they arrive.

// cordonsFresh reports whether the cordons were confirmed recently enough that a start based on
// them reaches its worker before the cordon deadline.
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

// cordonsForPeer returns the cordons known to this gateway, or nil if it knows none yet.
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

// mergePeerCordons updates the cordons from a peer's reply. The age in the reply is counted
// back from the time at which the request was sent, so that the cordons never appear younger
// than they are.
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

// updateCordons passes changed cordons to the engine.
func (t *term) updateCordons(c catalog.Cordons) { t.postEvent(engine.CordonsChanged{Cordons: c}) }

// withholdStarts removes the starts from orders if the cordons are too old, and returns their
// results. Stops and speed limits are sent regardless.
func (t *term) withholdStarts(orders engine.Orders) (engine.Orders, []engine.StartResult) {
	if len(orders.Starts) == 0 || t.g.cordonsFresh(lease.BootTime()) {
		return orders, nil
	}
	t.g.counters.StartsWithheld.Add(int64(len(orders.Starts)))
	return withoutStarts(orders)
}

// withoutStarts returns orders without their starts, and the results of those, which are not sent.
func withoutStarts(orders engine.Orders) (engine.Orders, []engine.StartResult) {
	unsent := uniformReply(engine.Orders{Starts: orders.Starts}, engine.StartNotDelivered).Starts
	orders.Starts = nil
	return orders, unsent
}
