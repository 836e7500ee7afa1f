package document

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// maxRetryDelay is the maximum pause between two attempts to find out the outcome of a
// write whose reply was lost.
const maxRetryDelay = 2 * time.Second

// pendingWrite is a proposal that is being written to the store. If the reply to a swap is
// lost, the same swap is sent again, since the request may still be in flight and take
// effect after a read. Both expect the same revision, so only the first to arrive
// succeeds, and the other finds its token.
type pendingWrite struct {
	store          store.Store
	proposal       Proposal
	version        Version
	swaps          []store.Swap
	mayHaveApplied bool // an earlier send may have been applied
}

func newPendingWrite(kv store.Store, p Proposal, version Version, expect store.Revision) (*pendingWrite, error) {
	value, err := version.Marshal()
	if err != nil {
		return nil, err
	}
	swap := store.Swap{Key: StoreKey(version.Service), Expect: expect, Value: value}
	return &pendingWrite{store: kv, proposal: p, version: version, swaps: []store.Swap{swap}}, nil
}

// run sends the write until its outcome is known or ctx ends.
func (w *pendingWrite) run(ctx context.Context) (Version, error) {
	retryPolicy := backoff.NewExponentialBackOff()
	retryPolicy.MaxInterval = maxRetryDelay
	retryPolicy.RandomizationFactor = 0 // a single client needs no jitter
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

// baseUnchanged reports whether the store still holds the version that this write
// replaces. A restored store reuses revisions, so before a swap is sent again its expected
// revision may belong to another version.
func (w *pendingWrite) baseUnchanged(ctx context.Context) (bool, error) {
	stored, err := readStored(ctx, w.store, w.version.Service)
	return stored.Version.Token == w.version.Replaces && stored.Revision == w.swaps[0].Expect, err
}

// send sends the swap once. The second result reports whether the outcome of this and all
// earlier sends is known.
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

// resolveOutcome determines, after a failed swap, whether an earlier send of it was
// applied. Its results are those of send.
func (w *pendingWrite) resolveOutcome(ctx context.Context) (Version, bool, error) {
	stored, err := readStored(ctx, w.store, w.version.Service)
	if err != nil && w.mayHaveApplied {
		return Version{}, false, err
	}
	if err != nil {
		return Version{}, true, eris.Wrapf(ErrConflict, "nothing was written; reading the stored version failed: %v", err)
	}
	v := stored.Version
	if v.Token == w.version.Token {
		return v, true, nil
	}
	if v.Replaces == w.version.Token {
		return w.version, true, nil // applied, and replaced since
	}
	if !w.mayHaveApplied || v.Replaces == w.version.Replaces && v.Generation == w.version.Generation {
		return Version{}, true, newConflictError(w.proposal, v)
	}
	// Several versions followed the base, or the store was restored: this write may
	// have been applied and replaced in between.
	return Version{}, true, eris.Wrap(ErrOutcomeUnknown, newConflictError(w.proposal, v).Error())
}
