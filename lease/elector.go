package lease

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/store"
)

const (
	// clockDriftDivisor: one part in so many of a lease's time is not used, for
	// clocks of store and process that run at different rates.
	clockDriftDivisor = 50
	// slowClaimDivisor: a claim that has taken this share of the TTL is followed by a renewal.
	slowClaimDivisor = 4
	// renewDivisor and retryShare are the parts of the TTL between a renewal and
	// the next, and between a failed renewal and the next attempt.
	renewDivisor = 3
	retryDivisor = 10
)

// Elector decides what one candidate for one duty does next. It has one action
// in progress at a time: Step takes the action's event and returns the next.
// One goroutine owns it.
type Elector struct {
	ttl               time.Duration
	lease             store.LeaseID // zero: none
	revoking          store.LeaseID // given up, and Revoked not yet seen
	validUntil        time.Duration // the lease lives until then at least
	pendingValidUntil time.Duration // until, once the holder key is verified
	epoch             uint64        // raised by us; valid while held
	observedEpoch     uint64        // highest epoch known from receivers
	leading           bool
	resigning         bool
}

// NewElector returns an Elector for leases of the given TTL. The first event
// is Start.
func NewElector(ttl time.Duration) *Elector { return &Elector{ttl: ttl} }

// Leadership returns the present holding. The caller compares Until with its clock.
func (e *Elector) Leadership() (Leadership, bool) {
	return Leadership{Epoch: e.epoch, ValidUntil: e.validUntil}, e.leading
}

// Deadline returns when the action in progress is no longer of use, and false
// where it may take any time.
func (e *Elector) Deadline() (time.Duration, bool) {
	return e.validUntil, e.lease != 0
}

// Step takes an event at time now and returns the next action. Outdated, Yield
// and Resign may come at any time; the action in progress is then abandoned, and
// its event must not be given any more.
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
	// A holder that was paused finds here, before anything else, that its
	// lease may have lapsed meanwhile.
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

// stepWithoutLease has no lease.
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

// stepClaiming has a lease and does not hold the duty yet. Any doubt ends the
// claim: revoking the lease also undoes a creation of the holder key that is
// still on its way.
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
			// The store is slow: the lease would be all but over when the claim is
			// verified, and lapse before its first renewal.
			return Renew{Lease: e.lease}
		}
		if ev.Succeeded {
			return Verify{Lease: e.lease}
		}
		// Another's raise, or a late one of our own; read and raise again.
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

// stepLeading holds the duty.
func (e *Elector) stepLeading(now time.Duration, ev Event) Action {
	switch ev := ev.(type) {
	case WaitEnded:
		return Renew{Lease: e.lease}
	case Renewed:
		// The lease may live on without the holder key: deleted by an
		// operator, or lost in a restore. Only both together count.
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

// sleepUntilRenewal sleeps until the next renewal, which comes sooner where the last one took long.
func (e *Elector) sleepUntilRenewal(now time.Duration) Action {
	due := min(now+e.ttl/renewDivisor, e.validUntil-e.ttl/2)
	return Sleep{Until: max(now, due)}
}

// handleHigherEpoch takes up a higher epoch. A holder that learns of one cannot be
// obeyed until it has raised its own above it.
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

// handleYield ignores a wish that was meant for an earlier holding.
func (e *Elector) handleYield(now time.Duration, ev Yield) Action {
	if e.leading && now < e.validUntil && ev.Epoch != e.epoch {
		return e.sleepUntilRenewal(now)
	}
	return e.release()
}

// release drops the duty first and then gives the lease back, so that the next
// candidate need not wait for it to lapse.
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

// leaseValidUntil returns until when a lease granted or renewed by a call sent at sent
// lives at least. The store counts from when it received the call, which is
// later; counting from the reply would outlive the lease by the reply's delay.
func leaseValidUntil(sent, ttl time.Duration) time.Duration {
	return sent + ttl - ttl/clockDriftDivisor
}
