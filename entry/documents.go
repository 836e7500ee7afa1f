package entry

import (
	"context"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// exchangeBytes bounds the documents in one answer to a peer.
const exchangeBytes = 4 << 20

// documentChanged puts a new generation to work: for the planner duty, and at
// every agent of the service. It must not block.
func (e *Entry) documentChanged(_, now *document.Held) {
	e.log.WithField("service", now.Version.Service).WithField("generation", now.Version.Generation).Info("document in force")
	e.metrics.Add(metrics.DocumentsApplied, 1)
	e.dispatcher(now.Version.Service).obey(now.Document)
	e.duties.setDocument(now)
	e.members.route(now.Version.Service)
	e.members.publish(now.Version)
}

// peersChanged tells the agents which entries there are, and the watcher whom to
// ask when the store is out.
func (e *Entry) peersChanged(others []peerEntry) {
	e.setNews(others)
	e.watcher.SetPeers(e.peerAddrs(others))
}

// peerAddrs are the addresses of the entries in the settings and the registry.
func (e *Entry) peerAddrs(others []peerEntry) []string {
	addrs := append([]string{}, e.cfg.Peers...)
	for _, p := range others {
		if !slices.Contains(addrs, p.Address) {
			addrs = append(addrs, p.Address)
		}
	}
	return addrs
}

// askPeer implements document.Ask: it sends another entry what this one has, and
// takes what that one has more.
func (e *Entry) askPeer(ctx context.Context, peer string, _ []document.Summary) (document.PeerAnswered, error) {
	got, err := e.pool.Call(ctx, peer, &wire.FetchDocuments{Have: e.docs.Generations()})
	if err != nil {
		return document.PeerAnswered{}, err
	}
	reply, ok := got.(*wire.FetchDocumentsReply)
	if !ok {
		return document.PeerAnswered{}, errBadReply
	}
	return document.PeerAnswered{
		Peer:        peer,
		Ready:       reply.Confirmed,
		Generations: reply.Generations,
		Versions:    reply.Versions,
	}, nil
}

// fetch serves askPeer of another entry.
func (e *Entry) fetch(m *wire.FetchDocuments) *wire.FetchDocumentsReply {
	ready := e.unconfirmed() == nil
	return &wire.FetchDocumentsReply{
		Confirmed:   ready,
		Generations: e.docs.Generations(),
		Versions:    e.docs.Newer(m.Have, exchangeBytes),
	}
}
