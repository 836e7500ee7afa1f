package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// crashEvidence is what an agent knows about the runs of a crashed worker.
type crashEvidence struct {
	// crashedBy is the latest possible time of the crash.
	crashedBy time.Duration
	// known is set if the agent had polled the worker. pastStartup then holds the runs that it
	// had observed for StartupCrashWindow, and ended those that were over before the crash. Further
	// runs may have been over if endsOmitted is set.
	known       bool
	pastStartup map[workload.RunID]bool
	ended       map[workload.RunID]bool
	endsOmitted bool
}

func (r *Report) crashEvidence(now time.Duration) crashEvidence {
	evidence := crashEvidence{
		crashedBy: now - r.DownFor, known: r.Terminated && r.Polled,
		pastStartup: map[workload.RunID]bool{}, ended: map[workload.RunID]bool{}, endsOmitted: r.EndsOmitted,
	}
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
	if p.state == placementUnrecorded || p.state == placementAbsent || p.unit.state == unitDone || ev.ended[p.runID()] {
		return false // not ordered yet, or already over
	}
	if ev.mayHaveEndedBefore(p) {
		return false
	}
	return ev.known || !p.worker.leaseExpired
}

// mayHaveEndedBefore reports whether the end of a run may be among those that the agent's last list omitted:
// a poll since its start was ordered did not list it as running. A job must not fail by a crash that came
// after its task was done.
func (ev crashEvidence) mayHaveEndedBefore(p *placement) bool {
	polledAt := p.worker.lastPolledAt
	return ev.endsOmitted && !ev.pastStartup[p.runID()] && p.lastSeenAt < polledAt && p.startedAt < polledAt
}

// wasRunning reports whether a run had started before its worker crashed, and its end would have
// been reported unless it came shortly before the crash. An agent that was cut off or was lost with
// its worker did not report the ends of the last seconds.
func (ev crashEvidence) wasRunning(p *placement) bool {
	return p.state == placementRunning && (ev.known || p.worker.unresponsive)
}

// certainShare is the share of an expected run time after which a run may be done. Expected run
// times are often too long by half.
const certainShare = 0.5

// certainlyRan reports whether a run was present when its worker crashed. The worker may have
// crashed before the agent learned that the run had ended, so a run that may have been done by
// then does not qualify.
func (e *Engine) certainlyRan(p *placement, ev crashEvidence) bool {
	if !ev.wasRunning(p) {
		return false
	}
	if p.unit.spec().LongRunning {
		return true // it is never done
	}
	from, expected := p.startedAt, e.estimate(p.unit)
	if left, measured := p.rate.remaining(p.rate.lastAt); measured {
		from, expected = p.rate.lastAt, left
	} else if p.adopted || p.resumed {
		return false // the work left at its start is unknown
	}
	return float64(ev.crashedBy-from) < certainShare*float64(expected)
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
