package document

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// maxRetryDelay is the longest pause between two tries to learn the outcome of
// a write whose reply was lost.
const maxRetryDelay = 2 * time.Second

// pendingWrite is one proposal on its way into the store.
//
// It guards against a reply lost after the pendingWrite took effect, which shows as a
// swap that fails against its own pendingWrite, or as Unknown. Reading back is not
// enough: a request still on its way can take effect after the read. The same
// swap is therefore sent again: whichever of the two arrives second fails,
// since both expect the same revision, and finds the token of the first.
type pendingWrite struct {
	store          store.Store
	proposal       Proposal
	version        Version
	swaps          []store.Swap
	mayHaveApplied bool // an earlier send may have taken effect
}

func newPendingWrite(kv store.Store, p Proposal, next Version, expect store.Revision) (*pendingWrite, error) {
	value, err := next.Marshal()
	if err != nil {
		return nil, err
	}
	swap := store.Swap{Key: StoreKey(next.Service), Expect: expect, Value: value}
	return &pendingWrite{store: kv, proposal: p, version: next, swaps: []store.Swap{swap}}, nil
}

// run sends the write until its outcome is known or ctx ends.
func (w *pendingWrite) run(ctx context.Context) (Version, error) {
	retryPolicy := backoff.NewExponentialBackOff()
	retryPolicy.MaxInterval = maxRetryDelay
	retryPolicy.RandomizationFactor = 0 // one operator's command: nobody to spread from
	outcomeKnown := false
	v, err := backoff.Retry(ctx, func() (Version, error) {
		v, known, err := w.send(ctx)
		outcomeKnown = known
		if known && err != nil {
			return Version{}, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(retryPolicy), backoff.WithMaxElapsedTime(0))
	if err != nil && !outcomeKnown {
		return Version{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return v, err
}

// baseUnchanged is true while the store holds the version that ours replaces. It
// guards a repeated send against a store restored in between, which counts its
// revisions again: the revision we expect can then be that of another write.
func (w *pendingWrite) baseUnchanged(ctx context.Context) (bool, error) {
	stored, err := readStored(ctx, w.store, w.version.Service)
	return stored.Version.Token == w.version.Replaces && stored.Revision == w.swaps[0].Expect, err
}

// send sends the swap once. The second result is false while the outcome of
// this or an earlier send is not known.
func (w *pendingWrite) send(ctx context.Context) (Version, bool, error) {
	if w.mayHaveApplied {
		unchanged, err := w.baseUnchanged(ctx)
		if err != nil {
			return Version{}, false, err
		}
		if !unchanged {
			return w.resolveOutcome(ctx)
		}
	}
	results, err := w.store.Commit(ctx, w.swaps)
	switch {
	case err != nil && w.mayHaveApplied:
		return Version{}, false, err
	case err != nil:
		return Version{}, true, eris.Wrap(err, "nothing was written")
	case results[0].Unknown:
		w.mayHaveApplied = true
		return Version{}, false, ErrOutcomeUnknown
	case results[0].Swapped:
		return w.version, true, nil
	}
	return w.resolveOutcome(ctx)
}

// resolveOutcome tells, after a swap that failed, whether an earlier send of it took
// effect.
func (w *pendingWrite) resolveOutcome(ctx context.Context) (Version, bool, error) {
	stored, err := readStored(ctx, w.store, w.version.Service)
	if err != nil && w.mayHaveApplied {
		return Version{}, false, err
	}
	if err != nil {
		return Version{}, true, eris.Wrapf(ErrConflict, "nothing was written, and the winner could not be read: %v", err)
	}
	v := stored.Version
	if v.Token == w.version.Token {
		return v, true, nil
	}
	if v.Replaces == w.version.Token {
		return w.version, true, nil // taken, and replaced since
	}
	if !w.mayHaveApplied || v.Replaces == w.version.Replaces && v.Generation == w.version.Generation {
		return Version{}, true, newConflictError(w.proposal, v)
	}
	// Several versions followed the base, or the store was restored: ours may
	// have been among those that are gone.
	return Version{}, true, eris.Wrap(ErrOutcomeUnknown, newConflictError(w.proposal, v).Error())
}
