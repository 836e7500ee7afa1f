package document

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// maxSettleWait is the longest pause between two tries to learn the outcome of
// a write whose reply was lost.
const maxSettleWait = 2 * time.Second

// write is one proposal on its way into the store.
//
// It guards against a reply lost after the write took effect, which shows as a
// swap that fails against its own write, or as Unknown. Reading back is not
// enough: a request still on its way can take effect after the read. The same
// swap is therefore sent again: whichever of the two arrives second fails,
// since both expect the same revision, and finds the token of the first.
type write struct {
	store    store.Store
	proposal Proposal
	next     Version
	request  []store.Swap
	lost     bool // an earlier send may have taken effect
}

func newWrite(kv store.Store, p Proposal, next Version, expect store.Revision) (*write, error) {
	value, err := next.Marshal()
	if err != nil {
		return nil, err
	}
	swap := store.Swap{Key: StoreKey(next.Service), Expect: expect, Value: value}
	return &write{store: kv, proposal: p, next: next, request: []store.Swap{swap}}, nil
}

// run sends the write until its outcome is known or ctx ends.
func (w *write) run(ctx context.Context) (Version, error) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = maxSettleWait
	pause.RandomizationFactor = 0 // one operator's command: nobody to spread from
	final := false
	v, err := backoff.Retry(ctx, func() (Version, error) {
		v, known, err := w.send(ctx)
		final = known
		if known && err != nil {
			return Version{}, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil && !final {
		return Version{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return v, err
}

// standing is true while the store holds the version that ours replaces. It
// guards a repeated send against a store restored in between, which counts its
// revisions again: the revision we expect can then be that of another write.
func (w *write) standing(ctx context.Context) (bool, error) {
	now, err := read(ctx, w.store, w.next.Service)
	return now.Version.Token == w.next.Replaces && now.Revision == w.request[0].Expect, err
}

// send sends the swap once. The second result is false while the outcome of
// this or an earlier send is not known.
func (w *write) send(ctx context.Context) (Version, bool, error) {
	if w.lost {
		standing, err := w.standing(ctx)
		if err != nil {
			return Version{}, false, err
		}
		if !standing {
			return w.judge(ctx)
		}
	}
	results, err := w.store.Commit(ctx, w.request)
	switch {
	case err != nil && w.lost:
		return Version{}, false, err
	case err != nil:
		return Version{}, true, eris.Wrap(err, "nothing was written")
	case results[0].Unknown:
		w.lost = true
		return Version{}, false, ErrOutcomeUnknown
	case results[0].Swapped:
		return w.next, true, nil
	}
	return w.judge(ctx)
}

// judge tells, after a swap that failed, whether an earlier send of it took
// effect.
func (w *write) judge(ctx context.Context) (Version, bool, error) {
	now, err := read(ctx, w.store, w.next.Service)
	if err != nil && w.lost {
		return Version{}, false, err
	}
	if err != nil {
		return Version{}, true, eris.Wrapf(ErrConflict, "nothing was written, and the winner could not be read: %v", err)
	}
	v := now.Version
	if v.Token == w.next.Token {
		return v, true, nil
	}
	if v.Replaces == w.next.Token {
		return w.next, true, nil // taken, and replaced since
	}
	if !w.lost || v.Replaces == w.next.Replaces && v.Generation == w.next.Generation {
		return Version{}, true, conflict(w.proposal, v)
	}
	// Several versions followed the base, or the store was restored: ours may
	// have been among those that are gone.
	return Version{}, true, eris.Wrap(ErrOutcomeUnknown, conflict(w.proposal, v).Error())
}
