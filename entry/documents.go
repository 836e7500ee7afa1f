package entry

import (
	"context"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// maxExchangeBytes bounds the documents in one answer to a peer.
const maxExchangeBytes = 4 << 20

// applyDocument puts a new generation to work: for the planner duty, and at
// every agent of the service. It must not block.
func (e *Entry) applyDocument(_, held *document.Held) {
	e.log.WithField("service", held.Version.Service).WithField("generation", held.Version.Generation).Info("document in force")
	e.metrics.Add(metrics.DocumentsApplied, 1)
	e.dispatcher(held.Version.Service).applyDocument(held.Document)
	e.elections.setDocument(held)
	e.members.updateRouter(held.Version.Service)
	e.members.publish(held.Version)
}

// peersChanged tells the agents which entries there are, and the watcher whom to
// ask when the store is out.
func (e *Entry) peersChanged(others []entryRecord) {
	e.updateSharedAck(others)
	e.watcher.SetPeers(e.peerAddrs(others))
}

// peerAddrs are the addresses of the entries in the settings and the registry.
func (e *Entry) peerAddrs(others []entryRecord) []string {
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
	got, err := e.pool.Call(ctx, peer, &wire.Fetch{Have: e.documents.Generations()})
	if err != nil {
		return document.PeerAnswered{}, err
	}
	reply, ok := got.(*wire.FetchReply)
	if !ok {
		return document.PeerAnswered{}, errBadReply
	}
	return document.PeerAnswered{
		Peer:        peer,
		Ready:       reply.Ready,
		Generations: reply.Generations,
		Versions:    reply.Versions,
	}, nil
}

// answerFetch serves askPeer of another entry.
func (e *Entry) answerFetch(m *wire.Fetch) *wire.FetchReply {
	ready := e.checkConfirmed() == nil
	return &wire.FetchReply{
		Ready:       ready,
		Generations: e.documents.Generations(),
		Versions:    e.documents.Newer(m.Have, maxExchangeBytes),
	}
}
