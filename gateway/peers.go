package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// peerLoop keeps in touch with the planner's gateway, and with all where the planner is
// not known or this gateway can't follow the configuration by itself.
func (g *Gateway) peerLoop() error {
	for {
		g.outage.sample(lease.BootTime(), g.cfg.SinceStoreReply())
		g.askPeers()
		select {
		case <-time.After(peerEvery):
		case <-g.tomb.Dying():
			return nil
		}
	}
}

func (g *Gateway) askPeers() {
	msg := g.question()
	for _, address := range g.whomToAsk(msg.WantConfig) {
		go g.askPeer(address, msg)
	}
}

func (g *Gateway) question() *link.Peer {
	epoch, planner := g.planners.get()
	msg := &link.Peer{Address: g.cfg.Listen, Epoch: epoch, Planner: planner, WantConfig: true, Strength: g.cfg.PlanningCapacity}
	if view, ok := g.inForce.Snapshot(); ok {
		msg.ConfigVersion = view.Catalog.Version
		msg.WantConfig = lease.BootTime()-view.ConfirmedAt > staleAfter
	}
	return msg
}

func (g *Gateway) whomToAsk(wantConfig bool) []string {
	_, planner := g.planners.get()
	if wantConfig || planner == "" || planner == g.cfg.Listen {
		return g.members.others()
	}
	return []string{planner}
}

func (g *Gateway) askPeer(address string, msg *link.Peer) { g.ask(address, msg, peerTimeout) }

// ask asks another gateway and takes what it answers.
func (g *Gateway) ask(address string, msg *link.Peer, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
	defer cancel()
	sent := lease.BootTime()
	raw, err := g.pool.Call(ctx, address, msg)
	if err != nil {
		g.peerFailed(address)
		return
	}
	reply, ok := raw.(*link.PeerReply)
	if !ok {
		return
	}
	g.members.hear(address)
	if reply.Heirs != nil {
		g.suspected.inherits(reply.Heirs)
	}
	_, planner := g.planners.get()
	g.outage.heard(lease.BootTime(), address, reply.StoreServes, address == planner)
	for _, m := range reply.Members {
		if m != address {
			g.members.suggest(m)
		}
	}
	g.planners.learn(reply.Epoch, reply.Planner)
	g.takeConfig(reply, sent)
	g.takeCordons(reply, sent)
	if !msg.WantText && g.lacksText(reply.ConfigVersion) {
		g.fetchText(address)
	}
}

// lacksText says whether a peer has a newer configuration that the store does not bring now.
func (g *Gateway) lacksText(version int64) bool {
	view, ok := g.inForce.Snapshot()
	newer := version != 0 && (!ok || version > view.Catalog.Version)
	return newer && g.cfg.SinceStoreReply() > staleAfter
}

// fetchText asks one peer for the text of its configuration, if none is being asked.
func (g *Gateway) fetchText(address string) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	msg := g.question()
	msg.WantText = true
	g.ask(address, msg, textTimeout)
}

// peerFailed turns to all others where the planner does not answer.
func (g *Gateway) peerFailed(address string) {
	if _, planner := g.planners.get(); planner != address {
		return
	}
	for _, other := range g.members.others() {
		if other != address {
			go g.askPeer(other, g.question())
		}
	}
}

// served says whether a gateway has not lately said that the store does not serve it.
func (g *Gateway) served(address string) bool {
	return !g.outage.unserved(lease.BootTime(), address)
}

// takeConfig takes what a peer knows of the configuration. Its age is reckoned from
// before the question was sent.
func (g *Gateway) takeConfig(reply *link.PeerReply, sent time.Duration) {
	if reply.ConfigVersion == 0 {
		return
	}
	confirmed := sent - reply.ConfigAge
	if len(reply.Config) == 0 {
		g.inForce.Confirm(reply.ConfigVersion, confirmed)
		return
	}
	c, err := g.cfg.Source.Decode(reply.Config)
	if err != nil {
		g.log.WithError(err).Warn("configuration from a peer not understood")
		return
	}
	g.inForce.Update(c, reply.Config, confirmed)
}

// answerPeer answers another gateway, or an agent that looks for the planner.
func (g *Gateway) answerPeer(msg *link.Peer) *link.PeerReply {
	g.members.hear(msg.Address)
	g.members.carries(msg.Address, msg.Strength)
	g.planners.learn(msg.Epoch, msg.Planner)
	epoch, planner := g.planners.get()
	reply := &link.PeerReply{
		Epoch:       epoch,
		Planner:     planner,
		Members:     g.members.sample(),
		StoreServes: g.cfg.SinceStoreReply() < servedFresh,
	}
	if msg.Address == "" {
		return reply
	}
	if planner == g.cfg.Listen {
		reply.Heirs = g.members.heirs(g.served)
	}
	reply.Cordons = g.ownCordons()
	if view, ok := g.inForce.Snapshot(); ok {
		reply.ConfigVersion = view.Catalog.Version
		reply.ConfigAge = lease.BootTime() - view.ConfirmedAt
		if msg.WantText && msg.ConfigVersion < view.Catalog.Version {
			reply.Config = view.Raw
		}
	}
	return reply
}
