package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// fetchNewerDocuments fetches from the other entries the document versions that this one
// lacks. It returns at once, and does nothing while an earlier fetch is running. Without
// it, an entry that can't reach the store would miss a new generation that is active
// everywhere else; it learns of the generation from agents' reports.
func (e *Entry) fetchNewerDocuments() {
	if e.catchingUp.Swap(true) {
		return
	}
	go func() {
		defer e.catchingUp.Store(false)
		ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), publishTimeout)
		defer cancel()
		for _, peer := range e.peerAddrs(e.registry.others()) {
			answer, err := e.askPeer(ctx, peer, nil)
			if err != nil {
				continue // the next report starts another fetch
			}
			for _, v := range answer.Versions {
				e.documents.Update(time.Now(), v)
			}
		}
	}()
}

// hasNewerGeneration reports whether an agent has a later generation of the service than
// the one held here.
func hasNewerGeneration(reported []wire.DocumentSummary, active wire.DocumentSummary) bool {
	for _, g := range reported {
		if g.Service == active.Service && g.Generation > active.Generation {
			return true
		}
	}
	return false
}
