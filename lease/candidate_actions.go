package lease

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// perform carries out one action and returns its event.
func (c *Candidate) perform(act Action) Event {
	ctx, cancel := c.context()
	defer cancel()
	switch act := act.(type) {
	case AwaitVacant:
		return c.awaitVacant(ctx)
	case Grant:
		return c.tenure.grant(ctx)
	case Claim:
		return c.claimKey(ctx, act)
	case ReadEpoch:
		return c.readEpoch(ctx)
	case RaiseEpoch:
		return c.raiseEpoch(ctx, act)
	case Verify:
		_, held := c.elector.Leadership()
		return c.tenure.verify(ctx, c.claim, held)
	case Renew:
		return c.tenure.renew(ctx, act.Lease)
	case Revoke:
		c.tenure.release(act.Lease, c.claim, c.over.Load())
		return Revoked{}
	case Sleep:
		return c.sleep(act.Until-c.opts.Clock(), true)
	case BackOff:
		return c.sleep(c.pause.NextBackOff(), false)
	}
	panic("lease: unknown action")
}

// awaitVacant finds the duty vacant twice where others are to come first.
func (c *Candidate) awaitVacant(ctx context.Context) Event {
	for delayed := false; ; delayed = true {
		c.taken = false
		ev := c.tenure.awaitVacant(ctx)
		_, vacant := ev.(Vacant)
		if !vacant || c.opts.ClaimDelay == nil || delayed && !c.taken {
			return ev
		}
		rest(ctx, c.opts.ClaimDelay())
	}
}

func (c *Candidate) claimKey(ctx context.Context, act Claim) Event {
	c.claim = record{Instance: c.opts.Instance, Token: uuid.NewString()}.encode()
	succeeded, err := c.tenure.swap(ctx, store.Swap{Key: holderKey(c.opts.Election), Value: c.claim, Lease: act.Lease})
	if err != nil {
		return failed(err)
	}
	return Claimed{Succeeded: succeeded}
}

func (c *Candidate) readEpoch(ctx context.Context) Event {
	kv, ok, err := c.tenure.read(ctx, epochKey(c.opts.Election))
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

func (c *Candidate) raiseEpoch(ctx context.Context, act RaiseEpoch) Event {
	r := record{Instance: c.opts.Instance, Token: uuid.NewString(), Epoch: act.Epoch}
	succeeded, err := c.tenure.swap(ctx, store.Swap{Key: epochKey(c.opts.Election), Expect: act.ExpectRevision, Value: r.encode()})
	if err != nil {
		return failed(err)
	}
	return Raised{Succeeded: succeeded}
}
