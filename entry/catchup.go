package entry

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/wire"
)

// catchUp fetches from the other entries what they hold that this one lacks. It
// returns at once; while one fetch is under way another has no effect.
//
// The failure this guards against: an entry has lost its way to the store, the
// others have not, and a change of a document is in force everywhere but here,
// for as long as that lasts. It shows in the reports of agents, which have the
// change already.
func (e *Entry) catchUp() {
	if e.catching.Swap(true) {
		return
	}
	go func() {
		defer e.catching.Store(false)
		ctx, cancel := context.WithTimeout(e.t.Context(context.Background()), publishTimeout)
		defer cancel()
		for _, peer := range e.peerAddrs(e.registry.others()) {
			answer, err := e.askPeer(ctx, peer, nil)
			if err != nil {
				continue // the next report asks again
			}
			for _, v := range answer.Versions {
				e.docs.Offer(time.Now(), v)
			}
		}
	}()
}

// ahead says whether an agent has a later generation than the one held here.
func ahead(reported []wire.DocumentSummary, held wire.DocumentSummary) bool {
	for _, g := range reported {
		if g.Service == held.Service && g.Generation > held.Generation {
			return true
		}
	}
	return false
}
