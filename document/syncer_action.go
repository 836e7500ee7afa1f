package document

import "github.com/eelgrasshub/eelgrasshub/store"

// SyncerAction is what a Feeder asks its shell to do.
type SyncerAction interface{ syncerAction() }

// ListStore asks for a new listing, followed by a watch from it.
type ListStore struct{}

// QueryPeers asks for the versions of these peers.
type QueryPeers struct{ PeerIDs []string }

// MarkReady says, once, that the configuration held is confirmed.
type MarkReady struct{ Source ConfirmationSource }

// WriteBack puts Version into the store, which holds an older one or none:
// compare-and-swap on Expect. A failed swap needs no retry; the next listing
// shows whether anything is left to do.
type WriteBack struct {
	Version  Version
	Expect   store.Revision
	Replaced Version // what the store holds; zero where it holds none
}

func (ListStore) syncerAction()  {}
func (QueryPeers) syncerAction() {}
func (MarkReady) syncerAction()  {}
func (WriteBack) syncerAction()  {}

// ConfirmationSource is who confirmed a fresh process's configuration.
type ConfirmationSource string

// The sources of a confirmation.
const (
	ConfirmedByStore ConfirmationSource = "store"
	ConfirmedByPeers ConfirmationSource = "peers"
)
