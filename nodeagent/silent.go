package nodeagent

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// mayExtendLease says whether looks at a worker that does not answer still extend its lease.
func (l *incarnation) mayExtendLease(now time.Duration) bool {
	return !l.unresponsive || now-l.unresponsiveSince < leaseExtensionPeriod
}

// claimExtraPoll says whether the lease needs a look out of turn now, to renew it, and notes that
// it is made.
//
// The failure it guards against: looks out of turn at a worker that refuses them at once
// are reported at once, and the answers to the reports call for the next looks: a loop as
// fast as the network. A worker that does not answer is tried again by the looks in turn.
func (l *incarnation) claimExtraPoll(now time.Duration) bool {
	if l.unresponsive || l.leaseEnd == 0 || l.leaseEnd-now >= renewalThreshold || now-l.extraPollAt < minExtraPollInterval {
		return false
	}
	l.extraPollAt = now
	return true
}

// markUnresponsive notes that the worker does not answer.
//
// From here on another life may have its name, and what was ordered of this one may still
// reach that, which has seen no fence. So looks carry a higher one than any order until now:
// the first that is answered fences whoever answers.
func (l *incarnation) markUnresponsive(now time.Duration) {
	l.unresponsive = true
	l.unresponsiveSince = now
	l.failureReportedAt = now - unresponsivePollInterval
	if l.info.Name != "" {
		l.fence.Generation++
	}
}

// raiseRefusedFence raises the fence of orders to a worker that has refused it.
//
// The failure it guards against: this process was started again, and the one before had fenced
// the worker by itself when it did not answer. The planner's turn is lower than that, so nothing
// would ever run there again. A worker that follows a newer planner goes on refusing.
func (l *incarnation) raiseRefusedFence() {
	if l.info.Name != "" {
		l.fence.Generation += engine.GenerationStep
	}
}

// unresponsivePollInterval returns the pause between looks at a worker that does not answer. Where another
// life may have its name, that has to be fenced as soon as it is there.
func (l *incarnation) unresponsivePollInterval(now time.Duration) time.Duration {
	if l.info.Name != "" && now-l.unresponsiveSince < restartPollPeriod {
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
func (l *incarnation) nextAck() int64 {
	if l.unresponsive || l.recordedEnds <= l.ackedEnds {
		return 0
	}
	return l.recordedEnds
}
