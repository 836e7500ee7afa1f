package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Action is what an Elector asks for next. It is one of the types below; each
// is followed by the events named there, or by Failed.
type Action interface{ isAction() }

type (
	// AwaitVacant waits until the holder key does not exist, then Vacant.
	AwaitVacant struct{}
	// Grant asks for a lease, then Granted.
	Grant struct{}
	// Claim creates the holder key under the lease, then Claimed.
	Claim struct{ Lease store.LeaseID }
	// ReadEpoch reads the epoch key, then EpochRead.
	ReadEpoch struct{}
	// RaiseEpoch swaps the epoch key, then Raised.
	RaiseEpoch struct {
		ExpectRevision store.Revision
		Epoch          uint64
	}
	// Verify reads the holder key, then Verified.
	Verify struct{ Lease store.LeaseID }
	// Renew renews the lease, then Renewed.
	Renew struct{ Lease store.LeaseID }
	// Revoke ends the lease, then Revoked, also where that failed.
	Revoke struct{ Lease store.LeaseID }
	// Sleep waits until an instant, then Woke.
	Sleep struct{ Until time.Duration }
	// BackOff waits for a time that grows with each BackOff in a row, with jitter,
	// then Woke.
	BackOff struct{}
	// Done ends the Elector.
	Done struct{}
)

func (AwaitVacant) isAction() {}
func (Grant) isAction()       {}
func (Claim) isAction()       {}
func (ReadEpoch) isAction()   {}
func (RaiseEpoch) isAction()  {}
func (Verify) isAction()      {}
func (Renew) isAction()       {}
func (Revoke) isAction()      {}
func (Sleep) isAction()       {}
func (BackOff) isAction()     {}
func (Done) isAction()        {}
