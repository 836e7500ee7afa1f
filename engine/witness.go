package engine

import "github.com/eelgrasshub/eelgrasshub/workload"

// witness is what an agent knows of the runs of a worker that has crashed.
type witness struct {
	// known: the agent had looked at the worker. proven are then the runs that it had seen
	// at work for ProvenAfter, ended those that were over before.
	known  bool
	proven map[workload.RunID]bool
	ended  map[workload.RunID]bool
}

func (r *Report) witness() witness {
	out := witness{known: r.Terminated && r.Polled, proven: map[workload.RunID]bool{}, ended: map[workload.RunID]bool{}}
	for _, row := range r.Running {
		out.proven[row.Run] = true
	}
	for _, row := range r.Ended {
		out.ended[row.Run] = true
	}
	return out
}

// under says whether the crash may have come under a run. One that was given up when the
// lease lapsed may have been over for long; only the agent can tell.
func (t witness) under(p *placement) bool {
	if p.state == placeRecording || p.unit.state == unitDone || t.ended[p.id()] {
		return false // no order has left, or it was over
	}
	return t.known || !p.worker.lapsed
}

// certain says whether the run was there when its worker crashed. An agent that was cut off,
// or was lost with its worker, has not told of the ends of the last seconds.
func (t witness) certain(p *placement) bool {
	return p.state == placeRunning && (t.known || p.worker.silent)
}

// fresh says whether a run is known to have been at work for less than ProvenAfter. Of what
// a predecessor ordered and this planner never saw, only the agent can tell.
func (t witness) fresh(p *placement) bool {
	switch {
	case !t.under(p) || p.pastStartup():
		return false
	case t.known:
		return !t.proven[p.id()]
	}
	return p.began != 0 && p.worker.silent
}

// suspects returns the runs that a crash of their worker is blamed on: the fresh ones, and
// of these the ones suspected most before. alone says that all that were fresh are of one
// job.
func (t witness) suspects(places []*placement) (blamed map[*placement]bool, alone bool) {
	var fresh []*placement
	most := 0
	alone = true
	for _, p := range places {
		if !t.fresh(p) {
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
