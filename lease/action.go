package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Action is what an Elector wants done next. Each of the types below is answered by the
// event named there, or by Failed.
type Action interface{ isAction() }

type (
	// AwaitVacant waits until the holder key does not exist. Answered by Vacant.
	AwaitVacant struct{}
	// Grant asks the store for a lease. Answered by Granted.
	Grant struct{}
	// Claim creates the holder key under the lease. Answered by Claimed.
	Claim struct{ Lease store.LeaseID }
	// ReadEpoch reads the epoch key. Answered by EpochRead.
	ReadEpoch struct{}
	// RaiseEpoch writes Epoch to the epoch key if the key is still at ExpectRevision.
	// Answered by Raised.
	RaiseEpoch struct {
		ExpectRevision store.Revision
		Epoch          uint64
	}
	// Verify reads the holder key. Answered by Verified.
	Verify struct{ Lease store.LeaseID }
	// Renew renews the lease. Answered by Renewed.
	Renew struct{ Lease store.LeaseID }
	// Revoke ends the lease. Answered by Revoked even if the call failed.
	Revoke struct{ Lease store.LeaseID }
	// Sleep waits until an instant of the candidate's clock. Answered by WaitEnded.
	Sleep struct{ Until time.Duration }
	// BackOff waits with exponential backoff and jitter. Answered by WaitEnded.
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
