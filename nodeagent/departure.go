package nodeagent

import "github.com/eelgrasshub/eelgrasshub/engine"

// departure is a life that is over.
type departure struct {
	info       engine.WorkerInfo
	crashed    bool // it ended without notice
	superseded bool // another life answers under its name
	// looked: proven are the runs that looks had shown for engine.ProvenAfter, over those
	// that had ended.
	looked bool
	proven []engine.RunStatus
	over   []engine.RunEnd
}

// endLife notes how the present life has ended. The mutex is held.
func (a *Agent) endLife(how departure) {
	if a.life == nil {
		return
	}
	id := a.life.info.ID
	a.log.WithField("worker", id).WithField("crashed", how.crashed).WithField("superseded", how.superseded).Info("worker gone")
	a.ended[id] = true
	how.info = a.life.info
	how.looked, how.proven, how.over = a.life.known, a.life.proven(), a.life.ended
	a.left = append(a.left, how)
	a.nextFence = a.life.fence
	a.nextFence.Generation += engine.GenerationStep // also above what an agent before this one counted
	a.life = nil
}

// endLifeUnannounced ends the present life, of which another one was found in its place. It
// has crashed, unless it was draining: a worker whose goodbye is not answered ends all the
// same. superseded: the other one has its name. The mutex is held.
func (a *Agent) endLifeUnannounced(superseded bool) {
	a.endLife(departure{crashed: a.life != nil && !a.life.draining, superseded: superseded})
}
