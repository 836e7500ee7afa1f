package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

// On a slow store the calls of a claim take most of the TTL. Without a renewal during
// the claim, the lease expires before the first regular renewal is verified.
func TestClaimOnSlowStoreIsRenewedInTime(t *testing.T) {
	const (
		ttl     = 2 * time.Second
		latency = 320 * time.Millisecond
	)
	c := qt.New(t)
	e := lease.NewElector(ttl)
	now := time.Second
	act := e.Step(now, lease.Start{})
	var heldFrom time.Duration
	for now < 15*time.Second {
		held, ok := e.Leadership()
		if ok && heldFrom == 0 {
			heldFrom = now
		}
		if heldFrom != 0 {
			c.Assert(ok && now < held.ValidUntil, qt.IsTrue, qt.Commentf("leadership lost at %v, gained at %v", now, heldFrom))
		}
		sent := now
		if sleep, ok := act.(lease.Sleep); ok {
			now = max(now, sleep.Until)
			act = e.Step(now, lease.WaitEnded{})
			continue
		}
		now += latency
		act = e.Step(now, successfulReply(act, sent))
	}
	c.Check(heldFrom > 0 && heldFrom < 4*time.Second, qt.IsTrue, qt.Commentf("leadership gained at %v", heldFrom))
}

// successfulReply returns the event of an action that was sent at sent and succeeded.
func successfulReply(act lease.Action, sent time.Duration) lease.Event {
	switch act.(type) {
	case lease.AwaitVacant:
		return lease.Vacant{}
	case lease.Grant:
		return lease.Granted{Lease: 1, Sent: sent}
	case lease.Claim:
		return lease.Claimed{Succeeded: true}
	case lease.ReadEpoch:
		return lease.EpochRead{Epoch: 4, Revision: 9}
	case lease.RaiseEpoch:
		return lease.Raised{Succeeded: true}
	case lease.Verify:
		return lease.Verified{Owned: true}
	case lease.Renew:
		return lease.Renewed{Sent: sent}
	case lease.Revoke:
		return lease.Revoked{}
	}
	return lease.WaitEnded{}
}
