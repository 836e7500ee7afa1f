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
	out := crashEvidence{known: r.Terminated && r.Polled, proven: map[workload.RunID]bool{}, ended: map[workload.RunID]bool{}}
	for _, row := range r.Running {
		out.proven[row.Run] = true
	}
	for _, row := range r.Ended {
		out.ended[row.Run] = true
	}
	return out
}

// mayHaveRun says whether the crash may have come mayHaveRun a run. One that was given up when the
// lease lapsed may have been over for long; only the agent can tell.
func (t crashEvidence) mayHaveRun(p *placement) bool {
	if p.state == placementUnrecorded || p.unit.state == unitDone || t.ended[p.runID()] {
		return false // no order has left, or it was over
	}
	return t.known || !p.worker.leaseExpired
}

// certainlyRan says whether the run was there when its worker crashed. An agent that was cut off,
// or was lost with its worker, has not told of the ends of the last seconds.
func (t crashEvidence) certainlyRan(p *placement) bool {
	return p.state == placementRunning && (t.known || p.worker.unresponsive)
}

// justStarted says whether a run is known to have been at work for less than ProvenAfter. Of what
// a predecessor ordered and this planner never saw, only the agent can tell.
func (t crashEvidence) justStarted(p *placement) bool {
	switch {
	case !t.mayHaveRun(p) || p.pastStartup():
		return false
	case t.known:
		return !t.proven[p.runID()]
	}
	return p.startedAt != 0 && p.worker.unresponsive
}

// blamedRuns returns the runs that a crash of their worker is blamed on: the fresh ones, and
// of these the ones suspected most before. alone says that all that were fresh are of one
// job.
func (t crashEvidence) blamedRuns(places []*placement) (blamed map[*placement]bool, alone bool) {
	var fresh []*placement
	most := 0
	alone = true
	for _, p := range places {
		if !t.justStarted(p) {
			continue
		}
		fresh = append(fresh, p)
		most = max(most, p.unit.crashCountOf(p.index).startup)
		alone = alone && p.unit.job == fresh[0].unit.job
	}
	blamed = map[*placement]bool{}
	for _, p := range fresh {
		blamed[p] = p.unit.crashCountOf(p.index).startup == most
	}
	return blamed, alone
}
