package engine

import "time"

// A task suspected of crashing its worker is retried on probation: on a worker where nothing
// else has just started, and where nothing else is started until the run is past startup. Otherwise
// tasks that happened to start beside a crashing one would share its crash count and be given
// up with it.
const (
	// maxProbationWait limits how long a suspected task passes over workers with recently
	// started runs. On a fleet of short tasks every worker may have some.
	maxProbationWait = 1500 * time.Millisecond
	// maxLastChanceWait is the same limit for workers that run a task which one more crash
	// would give up.
	maxLastChanceWait = 5 * time.Second
	// agentAvoidanceTime is how long a task prefers other machines after a worker crashed under
	// it. A failing machine would otherwise look attractive, as each crash empties it.
	agentAvoidanceTime = 30 * time.Second
)

// admits reports whether new members of u may start on w next to its recently started runs.
func (r *round) admits(u *unit, w *worker) bool {
	if !r.e.params.Policy.Probation {
		return true
	}
	maxWait := time.Duration(0) // how long a suspected unit passes over w
	for _, p := range w.placements {
		if p.unit == u || p.state == placementAdopted {
			continue
		}
		crashes, inStartup := p.unit.crashCountOf(p.index), !p.pastStartup()
		if inStartup && crashes.startup > 0 {
			return false // on probation there
		}
		if inStartup {
			maxWait = max(maxWait, maxProbationWait)
		}
		if crashes.onLastAttempt() {
			maxWait = max(maxWait, maxLastChanceWait)
		}
	}
	return maxWait == 0 || !u.hasStartupCrash() || !r.keepsWaiting(u, maxWait)
}

// keepsWaiting reports whether u, which has no worker to itself now, keeps waiting for one. It
// records when the wait began.
func (r *round) keepsWaiting(u *unit, maxWait time.Duration) bool {
	if u.probationSince == 0 {
		u.probationSince = r.now
	}
	return r.now-u.probationSince < maxWait
}

// avoidAgent makes the unit prefer other machines after a worker next to that agent crashed
// under it.
func (u *unit) avoidAgent(now time.Duration, agent string) {
	if u.avoidedAgents == nil {
		u.avoidedAgents = map[string]time.Duration{}
	}
	u.avoidedAgents[agent] = now + agentAvoidanceTime
}

// crashRisk ranks workers for u by the expected loss from a crash, in cores: workers of agents
// that u avoids after a crash rank lower and, while u is suspected, so do workers with much
// running work.
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
