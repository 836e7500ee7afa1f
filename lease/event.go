package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// Event is the result of an Action, or a request from outside of the Elector.
type Event interface{ isEvent() }

type (
	// Vacant: the holder key does not exist.
	Vacant struct{}
	// Granted: the store granted a lease. Sent is the time before the call.
	Granted struct {
		Lease store.LeaseID
		Sent  time.Duration
	}
	// Claimed: the creation of the holder key ended. Succeeded is true only if it is
	// known to have taken effect.
	Claimed struct{ Succeeded bool }
	// EpochRead: the content and revision of the epoch key; both are zero if the key
	// does not exist.
	EpochRead struct {
		Epoch    uint64
		Revision store.Revision
	}
	// Raised: the write of the epoch key ended. Succeeded is true only if it is known
	// to have taken effect.
	Raised struct{ Succeeded bool }
	// Verified: the holder key was read. Owned is true if it has the value that this
	// candidate wrote.
	Verified struct{ Owned bool }
	// Renewed: the lease was renewed. Sent is the time before the call.
	Renewed struct{ Sent time.Duration }
	// Failed: the action had no known effect. LeaseNotFound is true if the lease no
	// longer exists.
	Failed struct{ LeaseNotFound bool }
	// Revoked: the lease was revoked, or the attempt failed.
	Revoked struct{}
	// WaitEnded: the wait ended.
	WaitEnded struct{}
	// Start is the first event of an Elector.
	Start struct{}
	// HigherEpoch: a receiver knows Epoch, which is higher than the epoch of this
	// candidate.
	HigherEpoch struct{ Epoch uint64 }
	// Yield ends the leadership if its epoch is still Epoch; the candidate then
	// competes again.
	Yield struct{ Epoch uint64 }
	// Resign ends the leadership and the candidacy.
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
