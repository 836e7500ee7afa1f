package engine

import "github.com/eelgrasshub/eelgrasshub/workload"

// crashEvidence is what an agent knows about the runs of a crashed worker.
type crashEvidence struct {
	// known is set if the agent had polled the worker. pastStartup then holds the runs that it
	// had observed for StartupCrashWindow, and ended those that were over before the crash.
	known       bool
	pastStartup map[workload.RunID]bool
	ended       map[workload.RunID]bool
}

func (r *Report) crashEvidence() crashEvidence {
	evidence := crashEvidence{known: r.Terminated && r.Polled, pastStartup: map[workload.RunID]bool{}, ended: map[workload.RunID]bool{}}
	for _, run := range r.Running {
		evidence.pastStartup[run.Run] = true
	}
	for _, end := range r.Ended {
		evidence.ended[end.Run] = true
	}
	return evidence
}

// mayHaveRun reports whether a run may have been present when its worker crashed. If the
// placement was ended by lease expiry, only the agent can tell.
func (ev crashEvidence) mayHaveRun(p *placement) bool {
	if p.state == placementUnrecorded || p.unit.state == unitDone || ev.ended[p.runID()] {
		return false // not ordered yet, or already over
	}
	return ev.known || !p.worker.leaseExpired
}

// certainlyRan reports whether a run was present when its worker crashed. An agent that was cut
// off or was lost with its worker did not report the ends of the last seconds.
func (ev crashEvidence) certainlyRan(p *placement) bool {
	return p.state == placementRunning && (ev.known || p.worker.unresponsive)
}

// justStarted reports whether a run is known to have been present for less than StartupCrashWindow.
// For adopted runs that this planner never saw, only the agent can tell.
func (ev crashEvidence) justStarted(p *placement) bool {
	switch {
	case !ev.mayHaveRun(p) || p.pastStartup():
		return false
	case ev.known:
		return !ev.pastStartup[p.runID()]
	}
	return p.startedAt != 0 && p.worker.unresponsive
}

// blamedRuns returns the runs that a worker crash is blamed on: of those that had just started,
// the ones with the most startup crashes so far. sameJob reports whether all that had just
// started belong to one job.
func (ev crashEvidence) blamedRuns(placements []*placement) (blamed map[*placement]bool, sameJob bool) {
	var started []*placement
	maxStartup := 0
	sameJob = true
	for _, p := range placements {
		if !ev.justStarted(p) {
			continue
		}
		started = append(started, p)
		maxStartup = max(maxStartup, p.unit.crashCountOf(p.index).startup)
		sameJob = sameJob && p.unit.job == started[0].unit.job
	}
	blamed = map[*placement]bool{}
	for _, p := range started {
		blamed[p] = p.unit.crashCountOf(p.index).startup == maxStartup
	}
	return blamed, sameJob
}
