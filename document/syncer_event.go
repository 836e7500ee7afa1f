package document

import "time"

// SyncerEvent is an input of a Syncer.
type SyncerEvent interface{ syncerEvent() }

// StoreListed reports a complete listing of the documents. Unreadable names the services
// whose stored value this binary cannot decode; such values are not overwritten.
type StoreListed struct {
	Documents  []StoredVersion
	Unreadable []string
}

// StoreChanged reports a document that a watch delivered.
type StoreChanged struct{ Document StoredVersion }

// StoreDeleted reports that a watch saw the document of a service deleted.
type StoreDeleted struct{ Service string }

// StoreFailed reports that a listing or a watch failed.
type StoreFailed struct{}

// PeersUpdated replaces the known peers, given by the IDs that PeerQuery takes.
type PeersUpdated struct{ PeerIDs []string }

// PeerAnswered reports the versions that a peer has, with those that this process lacks as
// far as they fit into one answer.
type PeerAnswered struct {
	Peer      string
	QueriedAt time.Time // by the local clock; zero for unsolicited versions
	Ready     bool      // whether the peer's own documents are confirmed
	Summaries []Summary
	Versions  []Version
}

// SyncerTick lets the Syncer check its timers. It is sent several times a second.
type SyncerTick struct{}

func (StoreListed) syncerEvent()  {}
func (StoreChanged) syncerEvent() {}
func (StoreDeleted) syncerEvent() {}
func (StoreFailed) syncerEvent()  {}
func (PeersUpdated) syncerEvent() {}
func (PeerAnswered) syncerEvent() {}
func (SyncerTick) syncerEvent()   {}
