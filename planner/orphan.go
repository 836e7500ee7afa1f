package planner

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/jobs"
)

// agentTask identifies a task on an agent.
type agentTask struct {
	agent string
	id    gang.ID
}

// stopOrphans stops tasks that belong to no coordinator and no record, left
// over from attempts that ended while the agent was unreachable.
func (p *Planner) stopOrphans(id string, w *worker) {
	if !p.recordsLoaded {
		return
	}
	for _, t := range w.lastReport.Tasks {
		p.markUnresolvedAgain(t)
		p.markOccupied(w, t)
		if p.isExpectedTask(t) {
			continue
		}
		msg, ok := gang.OrphanStop(t, w.lastReport.Incarnation, p.cfg.Epoch)
		switch {
		case !ok:
		case t.ID.Epoch == p.cfg.Epoch:
			p.send(nil, id, msg)
		default:
			p.stopUnlessRecorded(agentTask{id, t.ID}, t, msg)
		}
	}
}

// isExpectedTask reports whether the task belongs to an attempt that the
// planner coordinates, that a record names or that a search may still need.
func (p *Planner) isExpectedTask(t gang.Task) bool {
	j := p.jobs[t.ID.Job]
	if j == nil {
		return false
	}
	if j.coord != nil && j.coord.Plan().ID == t.ID {
		return true
	}
	if j.stored.IsPermit() {
		return j.coord == nil && keepsTaskForPermit(j, t.ID)
	}
	r := j.stored.Record
	return r.Epoch == t.ID.Epoch && r.Number == t.ID.Number && j.endedAttempt != t.ID
}

// stopUnlessRecorded sends the stop for a task of another planner, unless the
// job's record in the store names its attempt. A predecessor that still acts
// may have started the attempt a moment ago, and the report of its task may
// arrive before the watch delivers the record.
func (p *Planner) stopUnlessRecorded(key agentTask, t gang.Task, stop gang.Message) {
	if p.verifying[key] {
		return
	}
	p.verifying[key] = true
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		r, err := p.cfg.Jobs.Get(ctx, p.cfg.Service, t.ID.Job)
		p.post(func() {
			delete(p.verifying, key)
			p.handleVerified(key.agent, t, stop, r, err)
		})
		return nil
	})
}

// handleVerified handles the record that was read for stopUnlessRecorded, which
// the watch may not have delivered yet. If it could not be read, the task is
// checked again after the next report.
func (p *Planner) handleVerified(agent string, t gang.Task, stop gang.Message, r jobs.Stored, err error) {
	switch {
	case err == nil:
		p.submitJobs(p.handleStored(r, nil))
	case !eris.Is(err, jobs.ErrNotFound):
		p.cfg.Log.WithError(err).WithField("job", t.ID.Job).Info("failed to read the job record of an unexpected task")
		return
	}
	if !p.isExpectedTask(t) {
		p.send(nil, agent, stop)
	}
}
