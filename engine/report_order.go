package engine

import (
	"slices"
	"time"
)

// Reports of one agent may be handled in another order than they were built: each travels on a
// stream of its own, and the processes on the way may be paused. An older report must not undo what
// a newer one has shown. A process of an agent numbers its reports. Processes count in the order in
// which this planner has first answered them, since an answer reaches only the one that runs.

// ReportStanding is whether a report is taken into account.
type ReportStanding int

// Values of ReportStanding.
const (
	// ReportCurrent is the newest report of the agent's newest process, or not numbered.
	ReportCurrent ReportStanding = iota
	// ReportOutdated is older than a report that was handled before, or of a process that has
	// been replaced.
	ReportOutdated
	// ReportUnconfirmed is of a process that has no answer of this planner yet. It may be a
	// delayed report of a process that is over.
	ReportUnconfirmed
)

// ReportRef identifies the report that led to a decision. It is zero if no report did.
type ReportRef struct {
	Origin   ReportOrigin
	Standing ReportStanding
	// Delay is how much longer the report took than the fastest one of its process.
	Delay time.Duration
}

// OutdatedReport reports that a report was ignored because it was outdated.
type OutdatedReport struct {
	Agent  string
	Worker WorkerID
	Report ReportRef
}

func (OutdatedReport) isAction() {}

// maxKnownProcesses bounds the remembered processes of an agent.
const maxKnownProcesses = 8

// reportOrder is the order of the reports of one agent.
type reportOrder struct {
	newest ReportOrigin
	// processes are those that were answered, in order. All before that of newest are over.
	processes []uint64
	// minClockOffset is the smallest difference between the engine's clock and the agent's at the
	// arrival of a report.
	minClockOffset time.Duration
}

// orderReport determines the standing of r among the reports of its agent.
func (e *Engine) orderReport(now time.Duration, r *Report) ReportRef {
	ref := ReportRef{Origin: r.Origin}
	if r.Origin.Process == 0 {
		return ref
	}
	order := e.reportOrders[r.Worker.Agent]
	if order == nil {
		order = &reportOrder{}
		e.reportOrders[r.Worker.Agent] = order
	}
	order.addProcess(r.Origin.Process)
	ref.Standing = order.standing(r.Origin, e.epoch)
	if ref.Standing == ReportCurrent {
		order.advance(now, r.Origin)
	}
	if r.Origin.Process == order.newest.Process {
		ref.Delay = now - r.Origin.BuiltAt - order.minClockOffset
	}
	return ref
}

// addProcess adds a process, which is answered now, if it is not known.
func (o *reportOrder) addProcess(process uint64) {
	if slices.Contains(o.processes, process) {
		return
	}
	o.processes = append(o.processes, process)
	o.processes = o.processes[max(0, len(o.processes)-maxKnownProcesses):]
}

// standing returns the standing of a report to the planner with the given epoch.
func (o *reportOrder) standing(origin ReportOrigin, epoch uint64) ReportStanding {
	switch {
	case origin.Process == o.newest.Process && origin.Sequence <= o.newest.Sequence:
		return ReportOutdated
	case origin.Process == o.newest.Process:
		return ReportCurrent
	case slices.Index(o.processes, origin.Process) < slices.Index(o.processes, o.newest.Process):
		return ReportOutdated
	case origin.Epoch != epoch:
		return ReportUnconfirmed
	}
	return ReportCurrent
}

// advance makes origin the newest report.
func (o *reportOrder) advance(now time.Duration, origin ReportOrigin) {
	offset := now - origin.BuiltAt
	if origin.Process != o.newest.Process {
		o.minClockOffset = offset
	}
	o.minClockOffset = min(o.minClockOffset, offset)
	o.newest = origin
}

// answerUnconfirmed answers a report that may be of a process that is over. The worker is added if
// the agent has none, so that its record is stored early; nothing that is known changes.
func (e *Engine) answerUnconfirmed(now time.Duration, r *Report) ReportAnswer {
	answer := ReportAnswer{Standing: ReportUnconfirmed}
	if _, known := e.workerByAgent[r.Worker.Agent]; !known && !r.Terminated {
		e.registerWorker(now, r.Worker)
	}
	if w := e.workers[r.Worker.ID]; w != nil {
		answer.Generation, answer.AckedEnds = w.generation, w.ackedEnds
	} else if previous := e.workers[e.workerByAgent[r.Worker.Agent]]; previous != nil && previous.info.SharesName(r.Worker) {
		// The agent must fence the next incarnation with its first answer. Any call meant for the
		// previous one could start a run there until the next report.
		answer.Generation = e.lastGeneration + GenerationStep
	}
	return answer
}
