package lease

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// perform carries out one action and returns its event.
func (h *Candidate) perform(act Action) Event {
	ctx, cancel := h.context()
	defer cancel()
	switch act := act.(type) {
	case AwaitVacant:
		return h.awaitVacant(ctx)
	case Grant:
		return h.tenure.grant(ctx)
	case Claim:
		return h.claimKey(ctx, act)
	case ReadEpoch:
		return h.readEpoch(ctx)
	case RaiseEpoch:
		return h.raiseEpoch(ctx, act)
	case Verify:
		_, held := h.elector.Leadership()
		return h.tenure.verify(ctx, h.claim, held)
	case Renew:
		return h.tenure.renew(ctx, act.Lease)
	case Revoke:
		h.tenure.release(act.Lease, h.claim, h.over.Load())
		return Revoked{}
	case Sleep:
		return h.sleep(act.Until-h.opts.Clock(), true)
	case BackOff:
		return h.sleep(h.pause.NextBackOff(), false)
	}
	panic("lease: unknown action")
}

// awaitVacant finds the duty vacant twice where others are to come first.
func (h *Candidate) awaitVacant(ctx context.Context) Event {
	for hesitated := false; ; hesitated = true {
		h.taken = false
		ev := h.tenure.awaitVacant(ctx)
		_, vacant := ev.(Vacant)
		if !vacant || h.opts.ClaimDelay == nil || hesitated && !h.taken {
			return ev
		}
		rest(ctx, h.opts.ClaimDelay())
	}
}

func (h *Candidate) claimKey(ctx context.Context, act Claim) Event {
	h.claim = record{Instance: h.opts.Instance, Token: uuid.NewString()}.encode()
	won, err := h.tenure.swap(ctx, store.Swap{Key: holderKey(h.opts.Election), Value: h.claim, Lease: act.Lease})
	if err != nil {
		return failed(err)
	}
	return Claimed{Succeeded: won}
}

func (h *Candidate) readEpoch(ctx context.Context) Event {
	kv, ok, err := h.tenure.read(ctx, epochKey(h.opts.Election))
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
	return EpochRead{Epoch: r.Epoch, Revision: kv.Mod}
}

func (h *Candidate) raiseEpoch(ctx context.Context, act RaiseEpoch) Event {
	r := record{Instance: h.opts.Instance, Token: uuid.NewString(), Epoch: act.Epoch}
	won, err := h.tenure.swap(ctx, store.Swap{Key: epochKey(h.opts.Election), Expect: act.ExpectRevision, Value: r.encode()})
	if err != nil {
		return failed(err)
	}
	return Raised{Succeeded: won}
}
