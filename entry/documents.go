package entry

import (
	"context"
	"slices"

	"github.com/eelgrasshub/eelgrasshub/document"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// maxExchangeBytes limits the size of the documents in one answer to a peer.
const maxExchangeBytes = 4 << 20

// applyDocument applies a new generation to routing, elections and planner, and sends it
// to the agents of the service. It must not block.
func (e *Entry) applyDocument(_, active *document.ActiveVersion) {
	e.log.WithField("service", active.Version.Service).WithField("generation", active.Version.Generation).Info("active document changed")
	e.metrics.Add(metrics.DocumentsApplied, 1)
	e.dispatcher(active.Version.Service).applyDocument(active.Document)
	e.elections.setDocument(active)
	e.members.updateRouter(active.Version.Service)
	e.members.publish(active.Version)
}

// peersChanged updates the list of entries that is sent to agents, and the peers that
// the watcher asks while the store is unavailable.
func (e *Entry) peersChanged(others []entryRecord) {
	e.updateSharedAck(others)
	e.watcher.SetPeers(e.peerAddrs(others))
}

// peerAddrs returns the addresses of the entries in the settings and in the registry.
func (e *Entry) peerAddrs(others []entryRecord) []string {
	addrs := append([]string{}, e.cfg.Peers...)
	for _, p := range others {
		if !slices.Contains(addrs, p.Address) {
			addrs = append(addrs, p.Address)
		}
	}
	return addrs
}

// askPeer implements document.PeerQuery: it sends another entry the generations held here
// and returns the versions that are newer there.
func (e *Entry) askPeer(ctx context.Context, peer string, _ []document.Summary) (document.PeerAnswered, error) {
	got, err := e.pool.Call(ctx, peer, &wire.FetchDocuments{Have: e.documents.Summaries()})
	if err != nil {
		return document.PeerAnswered{}, err
	}
	reply, ok := got.(*wire.FetchDocumentsReply)
	if !ok {
		return document.PeerAnswered{}, errBadReply
	}
	return document.PeerAnswered{
		Peer:      peer,
		Ready:     reply.Confirmed,
		Summaries: reply.Generations,
		Versions:  reply.Versions,
	}, nil
}

// answerFetch answers askPeer of another entry.
func (e *Entry) answerFetch(m *wire.FetchDocuments) *wire.FetchDocumentsReply {
	ready := e.checkConfirmed() == nil
	return &wire.FetchDocumentsReply{
		Confirmed:   ready,
		Generations: e.documents.Summaries(),
		Versions:    e.documents.NewerThan(m.Have, maxExchangeBytes),
	}
}
