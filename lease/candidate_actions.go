package lease

import (
	"context"

	"github.com/google/uuid"

	"github.com/eelgrasshub/eelgrasshub/store"
)

// perform executes an action and returns the resulting event.
func (c *Candidate) perform(act Action) Event {
	ctx, cancel := c.actionContext()
	defer cancel()
	switch act := act.(type) {
	case AwaitVacant:
		return c.awaitVacant(ctx)
	case Grant:
		return c.store.grant(ctx)
	case Claim:
		return c.createHolderKey(ctx, act)
	case ReadEpoch:
		return c.readEpoch(ctx)
	case RaiseEpoch:
		return c.raiseEpoch(ctx, act)
	case Verify:
		_, held := c.elector.Leadership()
		return c.store.verify(ctx, c.claimValue, held)
	case Renew:
		return c.store.renew(ctx, act.Lease)
	case Revoke:
		c.store.release(act.Lease, c.claimValue, c.resigned.Load())
		return Revoked{}
	case Sleep:
		return c.wait(act.Until-c.opts.Clock(), true)
	case BackOff:
		return c.wait(c.backOff.NextBackOff(), false)
	}
	panic("lease: unknown action type")
}

// awaitVacant waits until the election is vacant. With ClaimDelay it lets other
// candidates claim first, and returns only if the election is still vacant after the
// delay.
func (c *Candidate) awaitVacant(ctx context.Context) Event {
	for delayed := false; ; delayed = true {
		c.occupied = false
		ev := c.store.awaitVacant(ctx)
		_, vacant := ev.(Vacant)
		if !vacant || c.opts.ClaimDelay == nil || delayed && !c.occupied {
			return ev
		}
		delay := c.opts.ClaimDelay()
		if delay == 0 {
			return ev
		}
		sleepContext(ctx, delay)
	}
}

func (c *Candidate) createHolderKey(ctx context.Context, act Claim) Event {
	c.claimValue = record{Instance: c.opts.Instance, Token: uuid.NewString()}.encode()
	succeeded, err := c.store.swap(ctx, store.Swap{Key: holderKey(c.opts.Election), Value: c.claimValue, Lease: act.Lease})
	if err != nil {
		return failedEvent(err)
	}
	return Claimed{Succeeded: succeeded}
}

func (c *Candidate) readEpoch(ctx context.Context) Event {
	kv, ok, err := c.store.read(ctx, epochKey(c.opts.Election))
	if err != nil {
		return failedEvent(err)
	}
	if !ok {
		c.epochSince = 0
		return EpochRead{}
	}
	epoch, since, err := ParseEpochSeries(kv.Value)
	if err != nil {
		return failedEvent(err)
	}
	c.epochSince = since
	return EpochRead{Epoch: epoch, Revision: kv.Mod}
}

func (c *Candidate) raiseEpoch(ctx context.Context, act RaiseEpoch) Event {
	r := record{Instance: c.opts.Instance, Token: uuid.NewString(), Epoch: act.Epoch, Since: act.Epoch}
	if c.epochSince != 0 {
		r.Since = c.epochSince // the write fails if the epoch has changed since it was read
	}
	succeeded, err := c.store.swap(ctx, store.Swap{Key: epochKey(c.opts.Election), Expect: act.ExpectRevision, Value: r.encode()})
	if err != nil {
		return failedEvent(err)
	}
	return Raised{Succeeded: succeeded}
}
