package nodeagent

import "github.com/eelgrasshub/eelgrasshub/engine"

// departure describes an ended incarnation.
type departure struct {
	info       engine.WorkerInfo
	crashed    bool // ended without notice
	superseded bool // another incarnation answers under its name
	// polled is set if a poll was answered. pastStartup are the runs that were seen running for
	// engine.StartupCrashWindow, and ended the runs that had ended.
	polled      bool
	pastStartup []engine.RunStatus
	ended       []engine.RunEnd
}

// endIncarnation records the end of the current incarnation. The mutex is held.
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
	a.nextFence.Generation += engine.GenerationStep // also exceeds what a previous agent process counted
	a.incarnation = nil
}

// endUnannounced ends the current incarnation after another one was found in its place. It has
// crashed unless it was draining: a draining worker exits even if its departure notice is not
// answered. superseded is set if the other incarnation has the same name. The mutex is held.
func (a *Agent) endUnannounced(superseded bool) {
	a.endIncarnation(departure{crashed: a.incarnation != nil && !a.incarnation.draining, superseded: superseded})
}
