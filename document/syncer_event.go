package document

import "time"

// SyncerEvent is what a Feeder is told.
type SyncerEvent interface{ syncerEvent() }

// StoreListed: a full listing of the documents arrived. Unreadable names the
// services whose stored value this binary cannot read; it is left alone.
type StoreListed struct {
	Documents  []StoredVersion
	Unreadable []string
}

// StoreChanged: a watch delivered a document.
type StoreChanged struct{ Document StoredVersion }

// StoreDeleted: a watch saw the document of a service deleted.
type StoreDeleted struct{ Service string }

// StoreFailed: a listing or a watch failed; the store may be out.
type StoreFailed struct{}

// PeersUpdated: these are all peers known now, by the name that Ask takes.
type PeersUpdated struct{ PeerIDs []string }

// PeerAnswered: a peer told which versions it holds and sent those that we
// lacked, as far as they fit into one answer.
type PeerAnswered struct {
	Peer      string
	QueriedAt time.Time // when we sent the question, on our clock; zero for news that we did not ask for
	Ready     bool      // its own configuration is confirmed
	Summaries []Summary
	Versions  []Version
}

// SyncerTick lets time pass. Send one several times a second.
type SyncerTick struct{}

func (StoreListed) syncerEvent()  {}
func (StoreChanged) syncerEvent() {}
func (StoreDeleted) syncerEvent() {}
func (StoreFailed) syncerEvent()  {}
func (PeersUpdated) syncerEvent() {}
func (PeerAnswered) syncerEvent() {}
func (SyncerTick) syncerEvent()   {}
