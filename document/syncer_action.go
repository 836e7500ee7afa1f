package document

import "github.com/eelgrasshub/eelgrasshub/store"

// SyncerAction is an output of a Syncer that its owner performs.
type SyncerAction interface{ syncerAction() }

// ListStore requests a new listing, and a watch that starts at its revision.
type ListStore struct{}

// QueryPeers requests the versions of the given peers.
type QueryPeers struct{ PeerIDs []string }

// MarkReady reports, once, that the documents are confirmed.
type MarkReady struct{ Source ConfirmationSource }

// WriteBack requests a compare-and-swap on Expect that stores Version in place of an older
// one or none. A failed swap is not retried; the next listing shows whether it is still
// needed.
type WriteBack struct {
	Version  Version
	Expect   store.Revision
	Replaced Version // the version in the store; zero if there is none
}

func (ListStore) syncerAction()  {}
func (QueryPeers) syncerAction() {}
func (MarkReady) syncerAction()  {}
func (WriteBack) syncerAction()  {}

// ConfirmationSource is what confirmed the documents of a new process.
type ConfirmationSource string

// Sources of a confirmation.
const (
	ConfirmedByStore ConfirmationSource = "store"
	ConfirmedByPeers ConfirmationSource = "peers"
)
