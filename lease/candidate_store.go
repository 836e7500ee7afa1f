package lease

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// candidateStore is the access of one Candidate to the store, under a lease of its own
// or of a Session. Only the Candidate's goroutine calls it.
type candidateStore interface {
	// awaitVacant waits until there is no leader and returns Vacant, or Failed.
	awaitVacant(ctx context.Context) Event
	// grant returns Granted or Failed.
	grant(ctx context.Context) Event
	// swap makes one conditional write and reports whether it took effect. An unknown
	// outcome is reported as false: the Elector then gives up its claim, or raises the
	// epoch once more.
	swap(ctx context.Context, s store.Swap) (bool, error)
	// read returns a key as of the Candidate's own last write, or later.
	read(ctx context.Context, key string) (store.KeyValue, bool, error)
	// verify returns Verified with whether the holder key has the value claim, or
	// Failed. held means that the key had this value when it was last verified.
	verify(ctx context.Context, claim []byte, held bool) Event
	// renew returns Renewed or Failed.
	renew(ctx context.Context, lease store.LeaseID) Event
	// release undoes the claim, whether it took effect, did not, or is still in flight.
	// final means that the Candidate will not compete again.
	release(lease store.LeaseID, claim []byte, final bool)
	// lost returns a channel that is closed when the lease is known to be lost; it is
	// nil if only renew detects that.
	lost() <-chan struct{}
}

func failedEvent(err error) Event {
	return Failed{LeaseNotFound: eris.Is(err, store.ErrLeaseNotFound)}
}
