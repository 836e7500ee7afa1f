package planner

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/clock"
	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// AgentReport is what an agent reported of itself and its worker.
type AgentReport struct {
	Worker      scheduler.Worker
	Incarnation uint64
	// Sequence grows with each change of what an incarnation reports.
	Sequence uint64
	Draining bool
	// Fence, Timestamp and Tasks come from the agent's gang.Member; see
	// gang.Reported.
	Fence     uint64
	Timestamp gang.PlannerTimestamp
	Tasks     []gang.Task
	// ReceivedAt is when the agent was last in contact, by clock.Now. It may lie
	// in the past if the report was relayed or is replayed to a new planner.
	ReceivedAt time.Time
}

// highestEpoch returns the highest epoch of a planner that has sent messages to
// the agent or answered its reports.
func (r *AgentReport) highestEpoch() uint64 {
	if r.Timestamp == gang.InvalidTimestamp {
		return r.Fence
	}
	return max(r.Fence, r.Timestamp.Epoch)
}

// worker is the planner's view of one agent. The planner's goroutine owns it.
type worker struct {
	lastReport AgentReport
	up         bool
	// leftIncarnation is the latest incarnation that is known to have left.
	leftIncarnation uint64
	jobs            map[string]*job // whose attempt has a member here
	// mayHoldUntil is the time until which the worker may hold accelerators
	// that the scheduler considers free, such as those of an aborted attempt.
	mayHoldUntil time.Time
	// fencedAt is when the agent first reported this planner's epoch as its
	// fence, zero if it has not. The others are when it was first and last
	// sent a fence.
	fencedAt, fenceFirstSentAt, fenceLastSentAt time.Time
}

// workerOf returns the worker of an agent, which it adds if it is not known.
func (p *Planner) workerOf(agent string) (w *worker, known bool) {
	w, known = p.workers[agent]
	if !known {
		w = &worker{jobs: make(map[string]*job)}
		p.workers[agent] = w
	}
	return w, known
}

// HandleReport handles a report of an agent. It is safe for concurrent use.
func (p *Planner) HandleReport(r AgentReport) {
	p.post(func() { p.applyReport(r) })
}

// HandleAgentLeft handles the orderly end of an agent's incarnation. It is safe
// for concurrent use.
func (p *Planner) HandleAgentLeft(agent string, incarnation uint64) {
	p.post(func() { p.applyDeparture(agent, incarnation) })
}

// applyDeparture records that an incarnation has ended, before or after its last
// report arrives. It does not concern a later incarnation.
func (p *Planner) applyDeparture(agent string, incarnation uint64) {
	w, known := p.workerOf(agent)
	if !known {
		w.lastReport.ReceivedAt = clock.Now()
	}
	w.leftIncarnation = max(w.leftIncarnation, incarnation)
	if w.lastReport.Incarnation <= incarnation {
		p.handleAgentLost(agent, w)
	}
}

func (p *Planner) applyReport(r AgentReport) {
	id := string(r.Worker.ID)
	if epoch := r.highestEpoch(); epoch > p.cfg.Epoch {
		p.endSuperseded("an agent reported a higher epoch", epoch)
		return
	}
	w, known := p.workerOf(id)
	if w.hasReplaced(r.Incarnation) {
		return
	}
	if w.hasNewerState(r) {
		w.lastReport.ReceivedAt = later(w.lastReport.ReceivedAt, r.ReceivedAt)
		return
	}
	previous, wasUp := w.lastReport, w.up
	w.storeReport(r)
	if clock.Now().Sub(r.ReceivedAt) > p.lossTimeout() {
		if !known {
			p.cfg.Log.WithField("agent", id).Warn("agent was silent before this term")
		}
		return // no evidence that the agent is available
	}
	w.up = true
	w.updateFence(previous, p.cfg.Epoch)
	p.updateScheduler(previous, wasUp, r)
	p.updateCoordinators(id, w)
	p.stopOrphans(id, w)
}

// hasReplaced reports whether an incarnation has left, or a later one has
// reported.
func (w *worker) hasReplaced(incarnation uint64) bool {
	return incarnation < w.lastReport.Incarnation || incarnation <= w.leftIncarnation
}

// hasNewerState reports whether a newer state of the same incarnation has been
// reported.
func (w *worker) hasNewerState(r AgentReport) bool {
	return r.Incarnation == w.lastReport.Incarnation && r.Sequence < w.lastReport.Sequence
}

// storeReport stores a report. The last contact never goes back.
func (w *worker) storeReport(r AgentReport) {
	if r.Incarnation == w.lastReport.Incarnation {
		r.ReceivedAt = later(r.ReceivedAt, w.lastReport.ReceivedAt)
	}
	w.lastReport = r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Planner) updateScheduler(previous AgentReport, wasUp bool, r AgentReport) {
	switch {
	case r.Draining && (!wasUp || !previous.Draining):
		p.stepScheduler(scheduler.WorkerDraining{ID: r.Worker.ID})
	case r.Draining:
	case !wasUp || previous.Draining || previous.Worker != r.Worker:
		p.stepScheduler(scheduler.WorkerUp{Worker: r.Worker})
	}
}

func (p *Planner) updateCoordinators(id string, w *worker) {
	ev := gang.Reported{
		From:        id,
		Incarnation: w.lastReport.Incarnation,
		Fence:       w.lastReport.Fence,
		Timestamp:   w.lastReport.Timestamp,
		Tasks:       w.lastReport.Tasks,
	}
	for _, j := range w.jobs {
		p.stepCoordinator(j, ev)
	}
}

// handleAgentLost handles an agent that has not reported for the loss timeout
// or has left.
func (p *Planner) handleAgentLost(id string, w *worker) {
	if !w.up {
		return
	}
	w.up = false
	p.cfg.Log.WithField("agent", id).Warn("agent lost")
	for _, j := range w.jobs {
		p.stepCoordinator(j, gang.MemberLost{Agent: id})
	}
	p.stepScheduler(scheduler.WorkerDown{ID: scheduler.WorkerID(id)})
}

func (p *Planner) lossTimeout() time.Duration { return p.doc.Document.Gang.LossTimeout.Duration }

// detectLostAgents finds agents without contact for the loss timeout. The time
// before this term does not count: a predecessor may have renewed the agent's
// tasks until then.
func (p *Planner) detectLostAgents(now time.Time) {
	timeout := p.lossTimeout()
	for id, w := range p.workers {
		if w.up && min(now.Sub(w.lastReport.ReceivedAt), now.Sub(p.startedAt)) > timeout {
			p.handleAgentLost(id, w)
		}
		if !w.up {
			p.endAttemptsOnLost(id, w, now.Add(-timeout))
		}
		if !w.up && len(w.jobs) == 0 && now.Sub(w.lastReport.ReceivedAt) > forgetWorkerAfter {
			delete(p.workers, id)
		}
	}
}

// endAttemptsOnLost reports the loss of an agent to coordinators that were
// attached before a given time. handleAgentLost has not reached those that were
// attached after it, and they would wait for the agent without end.
func (p *Planner) endAttemptsOnLost(id string, w *worker, attachedBefore time.Time) {
	for _, j := range w.jobs {
		if j.attachedAt.Before(attachedBefore) {
			p.stepCoordinator(j, gang.MemberLost{Agent: id})
		}
	}
}

// forgetWorkerAfter is how long a lost worker is remembered.
const forgetWorkerAfter = 10 * time.Minute

// ReportAnswer returns the content of the answer to an agent's report: the
// attempts of several members to renew on that agent, and the planner's
// timestamp. It is safe for concurrent use and returns what the last
// housekeeping published.
func (p *Planner) ReportAnswer(agent string) ([]gang.ID, gang.PlannerTimestamp) {
	alive := p.aliveAttempts.Load()
	return alive.forAgent(agent, clock.Now()), gang.NewPlannerTimestamp(p.cfg.Epoch, alive.at)
}

// aliveAttempts lists the attempts whose members were all alive at one moment.
type aliveAttempts struct {
	byAgent map[string][]gang.ID
	at      time.Time
}

// maxAliveAge is how long aliveAttempts may be used to renew attempts. It is
// many housekeeping intervals, and less than what a document leaves for the
// delay of reports.
const maxAliveAge = 2 * time.Second

// forAgent returns the attempts with a member on the agent, or none if they
// are too old. Otherwise a planner process that was frozen would answer queued
// reports from its old state, and renew a member for longer than a successor
// waits before it starts the gang elsewhere.
func (a *aliveAttempts) forAgent(agent string, now time.Time) []gang.ID {
	if now.Sub(a.at) > maxAliveAge {
		return nil
	}
	return a.byAgent[agent]
}

func (p *Planner) publishAliveAttempts(now time.Time) {
	byAgent := make(map[string][]gang.ID)
	for _, j := range p.jobs {
		if j.coord == nil || len(j.coord.Plan().Members) < 2 || !j.coord.AllMembersAlive(now) {
			continue
		}
		for _, m := range j.coord.Plan().Members {
			byAgent[m.Agent] = append(byAgent[m.Agent], j.coord.Plan().ID)
		}
	}
	p.aliveAttempts.Store(&aliveAttempts{byAgent: byAgent, at: now})
}
