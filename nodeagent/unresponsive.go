package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// mayExtendLease reports whether polls extend the lease: the worker is not leaving, and answers or
// has not answered for less than leaseExtensionPeriod.
func (inc *incarnation) mayExtendLease(now time.Duration) bool {
	return !inc.leaving && (!inc.unresponsive || now-inc.unresponsiveSince < leaseExtensionPeriod)
}

// limitGrant gives up grants beyond the end of the lease that a report states, until the planner
// answers a later report: it lets the lease expire at that end, even if the worker answers again.
// Starts that it has decided on before are limited likewise. The mutex is held.
func (a *Agent) limitGrant(r engine.Report) {
	if r.Unresponsive && !r.ExtendingLease && r.LeaseKnown {
		a.grantedUntil = min(a.grantedUntil, a.incarnation.leaseEnd)
		a.limitedAt, a.limitedTo = now(), a.incarnation.leaseEnd
	}
}

// claimExtraPoll reports whether an extra poll is needed now to renew the lease, and records
// that it is sent.
//
// An unresponsive worker gets no extra polls: if it refuses them at once, each refusal would be
// reported at once and the reply would trigger the next poll, in a loop at network speed.
func (inc *incarnation) claimExtraPoll(now time.Duration) bool {
	if inc.unresponsive || inc.leaving || inc.leaseEnd == 0 || inc.leaseEnd-now >= renewalThreshold || now-inc.extraPollAt < minExtraPollInterval {
		return false
	}
	inc.extraPollAt = now
	return true
}

// markUnresponsive records that the worker does not answer. From now on another incarnation that
// has seen no fence may have its name, and delayed orders to this one may reach it. So polls carry
// a higher fence than any order so far: the first one that is answered fences whichever
// incarnation answers.
func (inc *incarnation) markUnresponsive(now time.Duration) {
	inc.unresponsive = true
	inc.unresponsiveSince = now
	inc.failureReportedAt = now - unresponsivePollInterval
	if inc.info.Name != "" {
		inc.fence.Generation++
	}
}

// raiseRefusedFence raises the fence of orders to a worker that refused it. A previous agent
// process may have raised the worker's fence by itself above the planner's generation; the
// worker would then refuse all further orders. A worker that follows a newer planner continues
// to refuse.
func (inc *incarnation) raiseRefusedFence() {
	inc.fence.Generation += engine.GenerationStep
}

// unresponsivePollInterval returns the pause between polls of an unresponsive worker. It is
// short at first if another incarnation may take the name, so that it is fenced as soon as it
// answers, or if the worker is leaving, so that its end is noticed.
func (inc *incarnation) unresponsivePollInterval(now time.Duration) time.Duration {
	if (inc.info.Name != "" || inc.leaving) && now-inc.unresponsiveSince < restartPollPeriod {
		return restartPollInterval
	}
	return unresponsivePollInterval
}

// nextAck returns the number up to which the next poll acknowledges ends, or 0 for none. An
// acknowledgement is sent only until a poll that carried it is answered, and never while the
// worker is unresponsive: a new incarnation under the same name numbers its ends from 1, would
// drop ends that are not recorded, and completed tasks would run again.
func (inc *incarnation) nextAck() int64 {
	if inc.unresponsive || inc.recordedEnds <= inc.ackedEnds {
		return 0
	}
	return inc.recordedEnds
}
