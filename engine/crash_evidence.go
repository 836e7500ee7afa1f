package engine

import "github.com/eelgrasshub/eelgrasshub/workload"

// crashEvidence is what an agent knows of the runs of a worker that has crashed.
type crashEvidence struct {
	// known: the agent had looked at the worker. proven are then the runs that it had seen
	// at work for ProvenAfter, ended those that were over before.
	known  bool
	proven map[workload.RunID]bool
	ended  map[workload.RunID]bool
}

func (r *Report) crashEvidence() crashEvidence {
	evidence := crashEvidence{known: r.Terminated && r.Polled, proven: map[workload.RunID]bool{}, ended: map[workload.RunID]bool{}}
	for _, run := range r.Running {
		evidence.proven[run.Run] = true
	}
	for _, end := range r.Ended {
		evidence.ended[end.Run] = true
	}
	return evidence
}

// mayHaveRun says whether the crash may have come mayHaveRun a run. One that was given up when the
// lease lapsed may have been over for long; only the agent can tell.
func (ev crashEvidence) mayHaveRun(p *placement) bool {
	if p.state == placementUnrecorded || p.unit.state == unitDone || ev.ended[p.runID()] {
		return false // no order has left, or it was over
	}
	return ev.known || !p.worker.leaseExpired
}

// certainlyRan says whether the run was there when its worker crashed. An agent that was cut off,
// or was lost with its worker, has not told of the ends of the last seconds.
func (ev crashEvidence) certainlyRan(p *placement) bool {
	return p.state == placementRunning && (ev.known || p.worker.unresponsive)
}

// justStarted says whether a run is known to have been at work for less than ProvenAfter. Of what
// a predecessor ordered and this planner never saw, only the agent can tell.
func (ev crashEvidence) justStarted(p *placement) bool {
	switch {
	case !ev.mayHaveRun(p) || p.pastStartup():
		return false
	case ev.known:
		return !ev.proven[p.runID()]
	}
	return p.startedAt != 0 && p.worker.unresponsive
}

// blamedRuns returns the runs that a crash of their worker is blamed on: the fresh ones, and
// of these the ones suspected most before. alone says that all that were fresh are of one
// job.
func (ev crashEvidence) blamedRuns(placements []*placement) (blamed map[*placement]bool, sameJob bool) {
	var started []*placement
	maxEarly := 0
	sameJob = true
	for _, p := range placements {
		if !ev.justStarted(p) {
			continue
		}
		started = append(started, p)
		maxEarly = max(maxEarly, p.unit.crashCountOf(p.index).startup)
		sameJob = sameJob && p.unit.job == started[0].unit.job
	}
	blamed = map[*placement]bool{}
	for _, p := range started {
		blamed[p] = p.unit.crashCountOf(p.index).startup == maxEarly
	}
	return blamed, sameJob
}
