package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// fetchNewerDocuments fetches from the other entries what they hold that this one lacks. It
// returns at once; while one fetch is under way another has no effect.
//
// The failure this guards against: an entry has lost its way to the store, the
// others have not, and a change of a document is in force everywhere but here,
// for as long as that lasts. It shows in the reports of agents, which have the
// change already.
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
				continue // the next report asks again
			}
			for _, v := range answer.Versions {
				e.documents.Offer(time.Now(), v)
			}
		}
	}()
}

// hasNewerGeneration says whether an agent has a later generation than the one held here.
func hasNewerGeneration(reported []wire.Generation, held wire.Generation) bool {
	for _, g := range reported {
		if g.Service == held.Service && g.Generation > held.Generation {
			return true
		}
	}
	return false
}
