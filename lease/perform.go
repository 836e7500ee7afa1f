package lease

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/platform"
)

// perform carries out one action and returns its event.
func (h *Holder) perform(act Action) Event {
	ctx, cancel := h.context()
	defer cancel()
	switch act := act.(type) {
	case AwaitVacant:
		return h.awaitVacant(ctx)
	case Grant:
		return h.grant(ctx)
	case Claim:
		return h.claimKey(ctx, act)
	case ReadEpoch:
		return h.readEpoch(ctx)
	case RaiseEpoch:
		return h.raiseEpoch(ctx, act)
	case Verify:
		return h.verify(ctx)
	case Renew:
		return h.renew(ctx, act)
	case Revoke:
		return h.revoke(act)
	case Sleep:
		return h.sleep(act.Until-h.opts.Clock(), true)
	case Pause:
		return h.sleep(h.pause.NextBackOff(), false)
	}
	panic("lease: unknown action")
}

func failed(err error) Event {
	return Failed{Gone: eris.Is(err, platform.ErrLeaseNotFound)}
}

// awaitVacant lists the holder key and, while it exists, watches it. Waiting
// candidates cost the store one waiting watch each and no polling.
func (h *Holder) awaitVacant(ctx context.Context) Event {
	key := holderKey(h.opts.Duty)
	snap, err := h.opts.Store.List(ctx, key)
	if err != nil {
		return failed(err)
	}
	if len(snap.Keys) == 0 {
		return Vacant{}
	}
	h.pause.Reset()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vacant := false
	err = h.opts.Store.Watch(ctx, key, snap.At+1, func(b platform.WatchBatch) {
		for _, e := range b.Events {
			vacant = e.Deleted
		}
		if vacant {
			cancel()
		}
	})
	if vacant {
		return Vacant{}
	}
	return failed(err)
}

func (h *Holder) grant(ctx context.Context) Event {
	sent := h.opts.Clock()
	id, err := h.opts.Store.Grant(ctx, h.opts.TTL)
	if err != nil {
		return failed(err)
	}
	return Granted{Lease: id, Sent: sent}
}

func (h *Holder) claimKey(ctx context.Context, act Claim) Event {
	h.claim = record{Instance: h.opts.Instance, Token: uuid.NewString()}.encode()
	won, err := h.swap(ctx, platform.Swap{Key: holderKey(h.opts.Duty), Value: h.claim, Lease: act.Lease})
	if err != nil {
		return failed(err)
	}
	return Claimed{Won: won}
}

// swap makes one swap. Of unknown outcome counts as not won: the Elector then
// revokes the lease, or raises the epoch once more.
func (h *Holder) swap(ctx context.Context, s platform.Swap) (bool, error) {
	results, err := h.opts.Store.Commit(ctx, []platform.Swap{s})
	if err != nil {
		return false, err
	}
	return results[0].Swapped, nil
}

func (h *Holder) readEpoch(ctx context.Context) Event {
	kv, ok, err := h.opts.Store.Get(ctx, epochKey(h.opts.Duty))
	if err != nil {
		return failed(err)
	}
	if !ok {
		return EpochRead{}
	}
	var r record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return failed(err)
	}
	return EpochRead{Epoch: r.Epoch, Mod: kv.Mod}
}

func (h *Holder) raiseEpoch(ctx context.Context, act RaiseEpoch) Event {
	r := record{Instance: h.opts.Instance, Token: uuid.NewString(), Epoch: act.Epoch}
	won, err := h.swap(ctx, platform.Swap{Key: epochKey(h.opts.Duty), Expect: act.Expect, Value: r.encode()})
	if err != nil {
		return failed(err)
	}
	return Raised{Won: won}
}

func (h *Holder) verify(ctx context.Context) Event {
	kv, ok, err := h.opts.Store.Get(ctx, holderKey(h.opts.Duty))
	if err != nil {
		return failed(err)
	}
	return Verified{Ours: ok && bytes.Equal(kv.Value, h.claim)}
}

func (h *Holder) renew(ctx context.Context, act Renew) Event {
	sent := h.opts.Clock()
	if _, err := h.opts.Store.Renew(ctx, act.Lease); err != nil {
		return failed(err)
	}
	return Renewed{Sent: sent}
}

// revoke is not cut short by the Holder's own end: the next candidate waits
// for it. The lease lapses by itself within the TTL where it fails.
func (h *Holder) revoke(act Revoke) Event {
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.TTL)
	defer cancel()
	_ = h.opts.Store.Revoke(ctx, act.Lease)
	return Revoked{}
}
