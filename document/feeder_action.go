package document

import "github.com/eelgrasshub/eelgrasshub/store"

// FeederAction is what a Feeder asks its shell to do.
type FeederAction interface{ feederAction() }

// ListStore asks for a new listing, followed by a watch from it.
type ListStore struct{}

// AskPeers asks for the versions of these peers.
type AskPeers struct{ IDs []string }

// BecomeReady says, once, that the configuration held is confirmed.
type BecomeReady struct{ Source Source }

// WriteBack puts Version into the store, which holds an older one or none:
// compare-and-swap on Expect. A failed swap needs no retry; the next listing
// shows whether anything is left to do.
type WriteBack struct {
	Version  Version
	Expect   store.Revision
	Replaced Version // what the store holds; zero where it holds none
}

func (ListStore) feederAction()   {}
func (AskPeers) feederAction()    {}
func (BecomeReady) feederAction() {}
func (WriteBack) feederAction()   {}

// Source is who confirmed a fresh process's configuration.
type Source string

// The sources of a confirmation.
const (
	FromStore Source = "store"
	FromPeers Source = "peers"
)
