package engine

import "time"

// A task with an early crash is tried again on probation: where nothing else has just
// started, so that a second crash can't be another's, and where nothing else is started
// until it is proven, so that others can't be blamed for it. It costs the worker the new
// work of a second. Without it, tasks that were started beside one that crashes its workers
// look like it, and are given up with it after they have met it a second time.
const (
	// maxProbationWait is how long such a task lets go of room beside others that have just
	// started before it goes anywhere: on a fleet of short tasks something always has.
	maxProbationWait = 1500 * time.Millisecond
	// maxLastChanceWait is the same for room beside tasks that the next crash would give up. They
	// are few, and a fleet with room to spare has a worker without them.
	maxLastChanceWait = 5 * time.Second
	// agentAvoidanceTime is how long a task keeps away from a machine where a worker crashed under it,
	// where there is room elsewhere: a machine that is about to fail for good is emptied by
	// each of its crashes and looks the best to all that it has just lost.
	agentAvoidanceTime = 30 * time.Second
)

// admits says whether new members of u may start on w beside what has just started there.
func (r *round) admits(u *unit, w *worker) bool {
	if !r.e.params.Policy.Probation {
		return true
	}
	maxWait := time.Duration(0) // how long a suspect lets go of the room there
	for _, p := range w.placements {
		if p.unit == u || p.state == placementAdopted {
			continue
		}
		crashes, unproven := p.unit.crashCountOf(p.index), !p.pastStartup()
		if unproven && crashes.startup > 0 {
			return false // it is on probation
		}
		if unproven {
			maxWait = max(maxWait, maxProbationWait)
		}
		if crashes.onLastAttempt() {
			maxWait = max(maxWait, maxLastChanceWait)
		}
	}
	return maxWait == 0 || !u.hasStartupCrash() || !r.keepsWaiting(u, maxWait)
}

// keepsWaiting says whether u, which can't have a worker to itself now, goes on waiting for
// one, and notes since when it does.
func (r *round) keepsWaiting(u *unit, maxWait time.Duration) bool {
	if u.probationSince == 0 {
		u.probationSince = r.now
	}
	return r.now-u.probationSince < maxWait
}

// avoidAgent notes that a worker crashed under the unit beside that agent.
func (u *unit) avoidAgent(now time.Duration, agent string) {
	if u.avoidedAgents == nil {
		u.avoidedAgents = map[string]time.Duration{}
	}
	u.avoidedAgents[agent] = now + agentAvoidanceTime
}

// crashRisk orders workers for u: where one crashed under it last, then, while a task of u is
// suspected to crash workers, by what a crash would throw away, in cores.
func (r *round) crashRisk(u *unit, w *worker) float64 {
	if len(u.crashes) == 0 {
		return 0
	}
	risk := 0.0
	if r.now < u.avoidedAgents[w.info.Agent] {
		risk += w.info.Capacity.CoreEquivalent()
	}
	if u.hasStartupCrash() {
		risk += w.used.CoreEquivalent()
	}
	return risk
}
