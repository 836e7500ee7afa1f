package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// peerLoop exchanges state with the planner's gateway, or with all peers if the planner is
// unknown, is this gateway, or the configuration is stale.
func (g *Gateway) peerLoop() error {
	for {
		g.storeStatus.observeSelf(lease.BootTime(), g.cfg.SinceStoreReply())
		g.queryPeers()
		select {
		case <-time.After(peerInterval):
		case <-g.tomb.Dying():
			return nil
		}
	}
}

func (g *Gateway) queryPeers() {
	msg := g.peerQuery()
	for _, address := range g.peersToQuery(msg.WantConfig) {
		go g.queryPeer(address, msg)
	}
}

func (g *Gateway) peerQuery() *link.PeerQuery {
	epoch, planner := g.planner.get()
	msg := &link.PeerQuery{Address: g.cfg.Listen, Epoch: epoch, Planner: planner, WantConfig: true, PlanningCapacity: g.cfg.PlanningCapacity}
	if view, ok := g.currentConfig.Snapshot(); ok {
		msg.ConfigVersion = view.Catalog.Version
		msg.WantConfig = lease.BootTime()-view.ConfirmedAt > configStaleAfter
	}
	return msg
}

func (g *Gateway) peersToQuery(wantConfig bool) []string {
	_, planner := g.planner.get()
	if wantConfig || planner == "" || planner == g.cfg.Listen {
		return g.members.knownPeers()
	}
	return []string{planner}
}

func (g *Gateway) queryPeer(address string, msg *link.PeerQuery) {
	g.queryPeerWithin(address, msg, peerTimeout)
}

// queryPeerWithin queries another gateway and merges its reply.
func (g *Gateway) queryPeerWithin(address string, msg *link.PeerQuery, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
	defer cancel()
	sent := lease.BootTime()
	raw, err := g.pool.Call(ctx, address, msg)
	if err != nil {
		g.handlePeerFailure(address)
		return
	}
	reply, ok := raw.(*link.PeerReply)
	if !ok {
		return
	}
	g.members.markHeard(address)
	if reply.Successors != nil {
		g.failureDetector.setSuccessors(reply.Successors)
	}
	_, planner := g.planner.get()
	g.storeStatus.observePeer(lease.BootTime(), address, reply.StoreReachable, address == planner)
	for _, m := range reply.Members {
		if m != address {
			g.members.addHint(m)
		}
	}
	g.planner.update(reply.Epoch, reply.Planner)
	g.mergePeerConfig(reply, sent)
	g.mergePeerCordons(reply, sent)
	if !msg.WantConfigText && g.needsConfigOf(reply.ConfigVersion) {
		g.fetchConfig(address)
	}
}

// needsConfigOf reports whether a peer's configuration version is newer than the local one and
// the store does not provide it now.
func (g *Gateway) needsConfigOf(version int64) bool {
	view, ok := g.currentConfig.Snapshot()
	newer := version != 0 && (!ok || version > view.Catalog.Version)
	return newer && g.cfg.SinceStoreReply() > configStaleAfter
}

// fetchConfig fetches the configuration from a peer. Only one fetch runs at a time.
func (g *Gateway) fetchConfig(address string) {
	if !g.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer g.fetchingConfig.Store(false)
	msg := g.peerQuery()
	msg.WantConfigText = true
	g.queryPeerWithin(address, msg, configTransferTimeout)
}

// handlePeerFailure queries all other gateways if the planner did not answer.
func (g *Gateway) handlePeerFailure(address string) {
	if _, planner := g.planner.get(); planner != address {
		return
	}
	for _, other := range g.members.knownPeers() {
		if other != address {
			go g.queryPeer(other, g.peerQuery())
		}
	}
}

// peerServed reports whether a gateway has not recently reported that the store does not serve
// it.
func (g *Gateway) peerServed(address string) bool {
	return !g.storeStatus.peerUnserved(lease.BootTime(), address)
}

// mergePeerConfig updates the configuration from a peer's reply. The age in the reply is
// counted back from the time at which the request was sent, so that the configuration never
// appears younger than it is.
func (g *Gateway) mergePeerConfig(reply *link.PeerReply, sent time.Duration) {
	if reply.ConfigVersion == 0 {
		return
	}
	confirmedAt := sent - reply.ConfigAge
	if len(reply.Config) == 0 {
		g.currentConfig.Confirm(reply.ConfigVersion, confirmedAt)
		return
	}
	c, err := g.cfg.Source.Decode(reply.Config)
	if err != nil {
		g.log.WithError(err).Warn("failed to decode configuration from peer")
		return
	}
	g.currentConfig.Update(c, reply.Config, confirmedAt)
}

// handlePeer answers another gateway, or an agent that is looking for the planner, which sends
// no address.
func (g *Gateway) handlePeer(msg *link.PeerQuery) *link.PeerReply {
	g.members.markHeard(msg.Address)
	g.members.setCapacity(msg.Address, msg.PlanningCapacity)
	g.planner.update(msg.Epoch, msg.Planner)
	epoch, planner := g.planner.get()
	reply := &link.PeerReply{
		Epoch:          epoch,
		Planner:        planner,
		Members:        g.members.sample(),
		StoreReachable: g.cfg.SinceStoreReply() < storeReplyTTL,
	}
	if msg.Address == "" {
		return reply
	}
	if planner == g.cfg.Listen {
		reply.Successors = g.members.successors(g.peerServed)
	}
	reply.Cordons = g.cordonsForPeer()
	if view, ok := g.currentConfig.Snapshot(); ok {
		reply.ConfigVersion = view.Catalog.Version
		reply.ConfigAge = lease.BootTime() - view.ConfirmedAt
		if msg.WantConfigText && msg.ConfigVersion < view.Catalog.Version {
			reply.Config = view.Raw
		}
	}
	return reply
}
