package nodeagent

import "github.com/eelgrasshub/eelgrasshub/engine"

// departure is a life that is over.
type departure struct {
	info       engine.WorkerInfo
	crashed    bool // it ended without notice
	superseded bool // another life answers under its name
	// polled: proven are the runs that looks had shown for engine.ProvenAfter, over those
	// that had ended.
	polled      bool
	pastStartup []engine.RunStatus
	ended       []engine.RunEnd
}

// endIncarnation notes how the present life has ended. The mutex is held.
func (a *Agent) endIncarnation(dep departure) {
	if a.incarnation == nil {
		return
	}
	id := a.incarnation.info.ID
	a.log.WithField("worker", id).WithField("crashed", dep.crashed).WithField("superseded", dep.superseded).Info("worker gone")
	a.endedIDs[id] = true
	dep.info = a.incarnation.info
	dep.polled, dep.pastStartup, dep.ended = a.incarnation.polled, a.incarnation.pastStartup(), a.incarnation.ended
	a.departures = append(a.departures, dep)
	a.nextFence = a.incarnation.fence
	a.nextFence.Generation += engine.GenerationStep // also above what an agent before this one counted
	a.incarnation = nil
}

// endUnannounced ends the present life, of which another one was found in its place. It
// has crashed, unless it was draining: a worker whose goodbye is not answered ends all the
// same. superseded: the other one has its name. The mutex is held.
func (a *Agent) endUnannounced(superseded bool) {
	a.endIncarnation(departure{crashed: a.incarnation != nil && !a.incarnation.draining, superseded: superseded})
}
