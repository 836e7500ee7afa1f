package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// mayExtendLease says whether looks at a worker that does not answer still extend its lease.
func (inc *incarnation) mayExtendLease(now time.Duration) bool {
	return !inc.unresponsive || now-inc.unresponsiveSince < leaseExtensionPeriod
}

// claimExtraPoll says whether the lease needs a look out of turn now, to renew it, and notes that
// it is made.
//
// The failure it guards against: looks out of turn at a worker that refuses them at once
// are reported at once, and the answers to the reports call for the next looks: a loop as
// fast as the network. A worker that does not answer is tried again by the looks in turn.
func (inc *incarnation) claimExtraPoll(now time.Duration) bool {
	if inc.unresponsive || inc.leaseEnd == 0 || inc.leaseEnd-now >= renewalThreshold || now-inc.extraPollAt < minExtraPollInterval {
		return false
	}
	inc.extraPollAt = now
	return true
}

// markUnresponsive notes that the worker does not answer.
//
// From here on another life may have its name, and what was ordered of this one may still
// reach that, which has seen no fence. So looks carry a higher one than any order until now:
// the first that is answered fences whoever answers.
func (inc *incarnation) markUnresponsive(now time.Duration) {
	inc.unresponsive = true
	inc.unresponsiveSince = now
	inc.failureReportedAt = now - unresponsivePollInterval
	if inc.info.Name != "" {
		inc.fence.Generation++
	}
}

// raiseRefusedFence raises the fence of orders to a worker that has refused it.
//
// The failure it guards against: this process was started again, and the one before had fenced
// the worker by itself when it did not answer. The planner's turn is lower than that, so nothing
// would ever run there again. A worker that follows a newer planner goes on refusing.
func (inc *incarnation) raiseRefusedFence() {
	if inc.info.Name != "" {
		inc.fence.Generation += engine.GenerationStep
	}
}

// unresponsivePollInterval returns the pause between looks at a worker that does not answer. Where another
// life may have its name, that has to be fenced as soon as it is there.
func (inc *incarnation) unresponsivePollInterval(now time.Duration) time.Duration {
	if inc.info.Name != "" && now-inc.unresponsiveSince < restartPollPeriod {
		return restartPollInterval
	}
	return unresponsivePollInterval
}

// nextAck returns up to which end the worker may forget with the next look, 0 where it has
// been told so.
//
// The failure it guards against: the worker is back as another life under its name, whose ends
// count from 1, before anybody has noticed. It would forget those that nobody has seen, and
// tasks that are done would run again. So an acknowledgement is sent until a look that carried
// it is answered, a moment after its ends were listed, and not while the worker is silent.
func (inc *incarnation) nextAck() int64 {
	if inc.unresponsive || inc.recordedEnds <= inc.ackedEnds {
		return 0
	}
	return inc.recordedEnds
}
