package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// clockDriftDivisor sets the part of a lease's time that is left unused, because
	// the clocks of store and process may run at different rates.
	clockDriftDivisor = 50
	// slowClaimDivisor sets the part of the TTL that a claim may take without being
	// followed by a renewal.
	slowClaimDivisor = 4
	// renewDivisor and retryDivisor set the parts of the TTL between two renewals, and
	// between a failed renewal and the next attempt.
	renewDivisor = 3
	retryDivisor = 10
)

// Elector is the state machine of one candidate in one election. It has one action in
// progress at a time: Step takes the event that answers the action and returns the next
// action. It is not safe for concurrent use.
type Elector struct {
	ttl               time.Duration
	lease             store.LeaseID // zero: no lease
	revoking          store.LeaseID // lease whose Revoked event is outstanding
	validUntil        time.Duration // the lease is valid at least until then
	pendingValidUntil time.Duration // validUntil once the holder key is verified
	epoch             uint64        // raised by this candidate; in effect while leading
	observedEpoch     uint64        // highest epoch reported by receivers
	leading           bool
	resigning         bool
}

// NewElector returns an Elector for leases of the given TTL. Its first event must be
// Start.
func NewElector(ttl time.Duration) *Elector { return &Elector{ttl: ttl} }

// Leadership returns the current leadership and whether there is one. The caller must
// compare ValidUntil with its clock.
func (e *Elector) Leadership() (Leadership, bool) {
	return Leadership{Epoch: e.epoch, ValidUntil: e.validUntil}, e.leading
}

// Deadline returns when the result of the action in progress becomes useless, and false
// if the action may take any time.
func (e *Elector) Deadline() (time.Duration, bool) {
	return e.validUntil, e.lease != 0
}

// Step takes an event at time now and returns the next action. HigherEpoch, Yield and
// Resign may come at any time; the action in progress is then abandoned, and its event
// must not be passed to Step any more.
func (e *Elector) Step(now time.Duration, ev Event) Action {
	switch ev := ev.(type) {
	case Resign:
		e.resigning = true
		return e.release()
	case HigherEpoch:
		return e.handleHigherEpoch(now, ev)
	case Yield:
		return e.handleYield(now, ev)
	case Revoked:
		e.revoking = 0
		return e.afterRelease()
	}
	// The lease may have expired while the process was paused, so check it before the
	// event is handled.
	if e.lease != 0 && now >= e.validUntil {
		return e.release()
	}
	if e.lease == 0 {
		return e.stepWithoutLease(ev)
	}
	if e.leading {
		return e.stepLeading(now, ev)
	}
	return e.stepClaiming(now, ev)
}

// stepWithoutLease handles an event while there is no lease.
func (e *Elector) stepWithoutLease(ev Event) Action {
	switch ev := ev.(type) {
	case Vacant:
		return Grant{}
	case Granted:
		e.lease = ev.Lease
		e.validUntil = leaseValidUntil(ev.Sent, e.ttl)
		e.pendingValidUntil = e.validUntil
		return Claim{Lease: e.lease}
	case Failed:
		return BackOff{}
	}
	return AwaitVacant{}
}

// stepClaiming handles an event while there is a lease but no leadership yet. Anything
// unexpected ends the claim: revoking the lease also undoes a creation of the holder
// key that is still in flight.
func (e *Elector) stepClaiming(now time.Duration, ev Event) Action {
	switch ev := ev.(type) {
	case Claimed:
		if ev.Succeeded {
			return ReadEpoch{}
		}
	case EpochRead:
		e.epoch = max(ev.Epoch, e.observedEpoch) + 1
		return RaiseEpoch{ExpectRevision: ev.Revision, Epoch: e.epoch}
	case Raised:
		if ev.Succeeded && now > e.validUntil-e.ttl+e.ttl/slowClaimDivisor {
			// The store is slow: without a renewal the lease could expire soon after
			// the claim is verified, before the first renewal completes.
			return Renew{Lease: e.lease}
		}
		if ev.Succeeded {
			return Verify{Lease: e.lease}
		}
		// Another candidate, or a delayed write of this one, has changed the epoch key.
		return ReadEpoch{}
	case Renewed:
		e.pendingValidUntil = leaseValidUntil(ev.Sent, e.ttl)
		return Verify{Lease: e.lease}
	case Verified:
		if ev.Owned {
			e.leading = true
			e.validUntil = max(e.validUntil, e.pendingValidUntil)
			return e.sleepUntilRenewal(now)
		}
	}
	return e.release()
}

// stepLeading handles an event while leading.
func (e *Elector) stepLeading(now time.Duration, ev Event) Action {
	switch ev := ev.(type) {
	case WaitEnded:
		return Renew{Lease: e.lease}
	case Renewed:
		// The lease may be valid without the holder key, which an operator may have
		// deleted or a restore may have lost. Both are required.
		e.pendingValidUntil = leaseValidUntil(ev.Sent, e.ttl)
		return Verify{Lease: e.lease}
	case Verified:
		if !ev.Owned {
			return e.release()
		}
		e.validUntil = max(e.validUntil, e.pendingValidUntil)
		return e.sleepUntilRenewal(now)
	case Failed:
		if ev.LeaseNotFound {
			return e.release()
		}
		return Sleep{Until: min(now+e.ttl/retryDivisor, e.validUntil)}
	}
	return e.release()
}

// sleepUntilRenewal sleeps until the next renewal, which comes sooner if the last one
// took long.
func (e *Elector) sleepUntilRenewal(now time.Duration) Action {
	due := min(now+e.ttl/renewDivisor, e.validUntil-e.ttl/2)
	return Sleep{Until: max(now, due)}
}

// handleHigherEpoch records the epoch. A leader whose epoch is not higher must raise it
// before receivers accept its orders again.
func (e *Elector) handleHigherEpoch(now time.Duration, ev HigherEpoch) Action {
	e.observedEpoch = max(e.observedEpoch, ev.Epoch)
	if !e.leading || now >= e.validUntil {
		return e.release()
	}
	if ev.Epoch <= e.epoch {
		return Renew{Lease: e.lease}
	}
	e.leading = false
	return ReadEpoch{}
}

// handleYield ignores a request that names the epoch of an earlier leadership.
func (e *Elector) handleYield(now time.Duration, ev Yield) Action {
	if e.leading && now < e.validUntil && ev.Epoch != e.epoch {
		return e.sleepUntilRenewal(now)
	}
	return e.release()
}

// release ends the leadership and then revokes the lease, so that the next candidate
// need not wait until it expires.
func (e *Elector) release() Action {
	e.leading = false
	if e.lease != 0 {
		e.revoking, e.lease = e.lease, 0
	}
	if e.revoking != 0 {
		return Revoke{Lease: e.revoking}
	}
	return e.afterRelease()
}

func (e *Elector) afterRelease() Action {
	if e.resigning {
		return Done{}
	}
	return BackOff{}
}

// leaseValidUntil returns until when a lease is certainly valid, if it was granted or
// renewed by a call sent at sent. The store counts from when it receives the call,
// which is later. Counting from the reply would exceed the lease by the delay of the
// reply.
func leaseValidUntil(sent, ttl time.Duration) time.Duration {
	return sent + ttl - ttl/clockDriftDivisor
}
