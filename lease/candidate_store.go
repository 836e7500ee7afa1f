package lease

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// candidateStore is the store as one Holder uses it: under a lease of its own, or under
// that of a Session. Only the Holder's goroutine calls it.
type candidateStore interface {
	// awaitVacant waits until nobody holds the duty, then Vacant, or Failed.
	awaitVacant(ctx context.Context) Event
	// grant returns Granted or Failed.
	grant(ctx context.Context) Event
	// swap makes one swap and says whether it took effect. Of unknown outcome
	// counts as not: the Elector then gives up its claim, or raises the epoch once
	// more.
	swap(ctx context.Context, s store.Swap) (bool, error)
	// read returns a key as it was after the Holder's own last swap, or later.
	read(ctx context.Context, key string) (store.KeyValue, bool, error)
	// verify says whether the holder key has the value claim. held: it had when
	// last verified.
	verify(ctx context.Context, claim []byte, held bool) Event
	// renew returns Renewed or Failed.
	renew(ctx context.Context, lease store.LeaseID) Event
	// release undoes the claim, whether or not it took effect or is still on its
	// way. final: the Holder will not compete again.
	release(lease store.LeaseID, claim []byte, final bool)
	// lost is closed when the lease is known to have gone; nil where only renew
	// tells.
	lost() <-chan struct{}
}

func failedEvent(err error) Event {
	return Failed{LeaseNotFound: eris.Is(err, store.ErrLeaseNotFound)}
}
