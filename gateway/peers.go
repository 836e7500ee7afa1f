package gateway

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/link"
)

// peerLoop exchanges state with the planner and, if necessary, with other gateways.
func (g *Gateway) peerLoop() error {
	for {
		g.storeStatus.observeSelf(g.clock(), g.cfg.SinceStoreReply())
		g.rankSuccessors()
		g.counters.GatewaysLive.Store(int64(len(g.members.livePeers())))
		g.queryPeers(g.peersToQuery(g.configStale(), g.storeReachable()))
		for _, address := range g.forgetSilent() {
			go g.pool.Remove(address)
		}
		select {
		case <-time.After(peerInterval):
		case <-g.tomb.Dying():
			return nil
		}
	}
}

// configStale reports whether peers should be asked for the configuration: none is known, or the
// store does not confirm it any more.
func (g *Gateway) configStale() bool {
	view, ok := g.currentConfig.Snapshot()
	if !ok {
		return true
	}
	age := g.clock() - view.ConfirmedAt
	return age > maxConfirmationAge || age > configStaleAfter && g.cfg.SinceStoreReply() > configStaleAfter
}

func (g *Gateway) queryPeers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	msg := g.peerQuery()
	for _, address := range addresses {
		go g.queryPeer(address, msg, peerTimeout)
	}
}

func (g *Gateway) peerQuery() *link.PeerQuery {
	epoch, planner := g.planner.get()
	msg := &link.PeerQuery{
		Address:          g.cfg.Listen,
		Epoch:            epoch,
		Planner:          planner,
		PlanningCapacity: g.cfg.PlanningCapacity,
		StoreUnreachable: !g.storeReachable(),
		EarlierGrants:    g.earlierGrants.tell(g.clock(), epoch),
	}
	if view, ok := g.currentConfig.Snapshot(); ok {
		msg.ConfigVersion = view.Catalog.Version
	}
	return msg
}

// storeReachable reports whether the store has recently replied to this gateway.
func (g *Gateway) storeReachable() bool { return g.cfg.SinceStoreReply() < storeReplyTTL }

// queryPeer queries another gateway and merges its reply.
func (g *Gateway) queryPeer(address string, msg *link.PeerQuery, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), timeout)
	defer cancel()
	g.counters.PeerQueries.Add(1)
	sent := g.clock()
	raw, err := g.pool.Call(ctx, address, msg)
	if err != nil {
		g.queryPeers(g.handleFailure(address))
		return
	}
	reply, ok := raw.(*link.PeerReply)
	if !ok {
		return
	}
	g.queryPeers(g.mergeReply(address, reply, sent))
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
	g.queryPeer(address, msg, configTransferTimeout)
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
	g.queryPeers(g.mergeQuery(msg))
	reply := g.reply(g.storeReachable())
	if msg.Address == "" {
		return reply
	}
	reply.Cordons = g.cordonsForPeer()
	if view, ok := g.currentConfig.Snapshot(); ok {
		reply.ConfigVersion = view.Catalog.Version
		reply.ConfigAge = g.clock() - view.ConfirmedAt
		if msg.WantConfigText && msg.ConfigVersion < view.Catalog.Version {
			reply.Config = view.Raw
		}
	}
	return reply
}
