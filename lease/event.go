package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Event is the end of an Action, or a wish from outside.
type Event interface{ isEvent() }

type (
	// Vacant: the holder key did not exist.
	Vacant struct{}
	// Granted: the lease is ours. Sent is the time before the call.
	Granted struct {
		Lease store.LeaseID
		Sent  time.Duration
	}
	// Claimed: the creation of the holder key ended. Won is true only where it
	// is known to have taken effect.
	Claimed struct{ Succeeded bool }
	// EpochRead: the epoch key as it is; both are zero where it does not exist.
	EpochRead struct {
		Epoch    uint64
		Revision store.Revision
	}
	// Raised: the swap of the epoch key ended. Won is true only where it is
	// known to have taken effect.
	Raised struct{ Succeeded bool }
	// Verified: whether the holder key is ours, by the token in it.
	Verified struct{ Owned bool }
	// Renewed: the lease was renewed. Sent is the time before the call.
	Renewed struct{ Sent time.Duration }
	// Failed: the action had no known effect. Gone is true where the lease no
	// longer exists.
	Failed struct{ LeaseNotFound bool }
	// Revoked: the lease was given back, or the attempt failed.
	Revoked struct{}
	// WaitEnded: the wait is over.
	WaitEnded struct{}
	// Start begins.
	Start struct{}
	// HigherEpoch: a receiver has seen Epoch, higher than ours.
	HigherEpoch struct{ Epoch uint64 }
	// Yield: give the duty up if it is still held under Epoch, and compete again.
	Yield struct{ Epoch uint64 }
	// Resign: give the duty up for good.
	Resign struct{}
)

func (Vacant) isEvent()      {}
func (Granted) isEvent()     {}
func (Claimed) isEvent()     {}
func (EpochRead) isEvent()   {}
func (Raised) isEvent()      {}
func (Verified) isEvent()    {}
func (Renewed) isEvent()     {}
func (Failed) isEvent()      {}
func (Revoked) isEvent()     {}
func (WaitEnded) isEvent()   {}
func (Start) isEvent()       {}
func (HigherEpoch) isEvent() {}
func (Yield) isEvent()       {}
func (Resign) isEvent()      {}
