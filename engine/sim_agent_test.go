package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// simAgent simulates one process of an agent as package nodeagent works: it polls the worker beside
// it, passes orders on, and sends one report at a time.
type simAgent struct {
	cluster      *simCluster
	slot         int // of its worker
	origin       ReportOrigin
	over         bool // the process has ended
	pausedUntil  time.Duration
	epoch        uint64
	grantedUntil time.Duration
	nextFence    Fence
	inc          *simIncarnation
	departures   []simDeparture
	// unansweredStarts has the time of the last call for each run with a start call that is in progress
	// or got no answer.
	unansweredStarts map[workload.RunID]time.Duration
	startedAt        time.Duration
	endedIDs         map[WorkerID]bool
	reporting        bool
	// reportPending asks for another report after the one in progress. reportRound numbers the
	// rounds of reports, so that only the timer of the last one counts.
	reportPending bool
	reportRound   int
}

// simDeparture is the end of an incarnation that the agent has to report.
type simDeparture struct {
	report Report
	lostAt time.Duration // when the connection was lost for good; 0 if not known
}

// The constants of package nodeagent that have the same names there.
const (
	simAgentReportInterval = 500 * time.Millisecond
	simAgentReportTimeout  = 900 * time.Millisecond
	simMinReportRetry      = 80 * time.Millisecond
	simMaxReportRetry      = 400 * time.Millisecond
)

// startAgent starts a new process of the agent beside a worker. It learns of the worker from the next
// heartbeat.
func (w *simCluster) startAgent(slot int) {
	w.delays.processes++
	a := &simAgent{cluster: w, slot: slot, origin: ReportOrigin{Process: w.delays.processes}, endedIDs: map[WorkerID]bool{}, unansweredStarts: map[workload.RunID]time.Duration{}, startedAt: w.now}
	w.agents[slot] = a
	a.pollLoop()
	a.startReports()
}

// after schedules an action of the agent.
func (a *simAgent) after(d time.Duration, do func()) {
	a.cluster.after(d, func() { a.do(do) })
}

// do makes the agent act as soon as its process runs.
func (a *simAgent) do(action func()) {
	switch {
	case a.over:
	case a.cluster.now < a.pausedUntil:
		a.after(a.pausedUntil-a.cluster.now, action)
	default:
		action()
	}
}

// cut reports whether the agent is disconnected from the planner.
func (a *simAgent) cut() bool { return a.cluster.workers[a.slot].disconnected }

func (a *simAgent) requestReport() {
	if a.reporting {
		a.reportPending = true
		return
	}
	a.startReports()
}

// startReports sends all pending reports, one after the other.
func (a *simAgent) startReports() {
	a.reporting, a.reportPending = true, false
	a.reportRound++
	a.sendReports()
}

// pendingReports builds a report for each ended incarnation, and one for the current one.
func (a *simAgent) pendingReports() []Report {
	var out []Report
	for _, d := range a.departures {
		r := d.report
		if d.lostAt != 0 {
			r.DownFor = a.cluster.now - d.lostAt
		}
		out = append(out, r)
	}
	if a.inc != nil {
		r := a.inc.report(a.cluster.now, a.epoch)
		a.limitGrant(r)
		a.reportStarts(&r)
		out = append(out, r)
	}
	return out
}

// reportStarts states which starts are unanswered.
func (a *simAgent) reportStarts(r *Report) {
	for run, calledAt := range a.unansweredStarts {
		if a.cluster.now-calledAt <= MaxCallDelay {
			r.UnansweredStarts = append(r.UnansweredStarts, run)
		}
	}
	r.ProcessAge, r.StartLimit = a.cluster.now-a.startedAt, simStartLimit
}

// limitGrant gives up grants beyond the end of the lease that a report states.
func (a *simAgent) limitGrant(r Report) {
	if r.Unresponsive && !r.ExtendingLease && r.LeaseKnown {
		a.grantedUntil = min(a.grantedUntil, a.inc.leaseEnd)
	}
}

func (a *simAgent) number(r Report) Report {
	a.origin.Sequence++
	a.origin.BuiltAt, a.origin.Epoch = a.cluster.now, a.epoch
	r.Origin = a.origin
	return r
}

// sendReports sends the next report and continues when it is answered. It gives it up after
// simAgentReportTimeout; a later reply to it is ignored.
func (a *simAgent) sendReports() {
	pending := a.pendingReports()
	if len(pending) == 0 {
		a.finishReports()
		return
	}
	r := a.number(pending[0])
	sentAt, done := a.cluster.now, false
	a.after(simAgentReportTimeout, func() {
		if !done {
			done = true
			a.after(a.cluster.delays.between(agentPause, simMinReportRetry, simMaxReportRetry), a.startReports)
		}
	})
	a.cluster.sendReport(a, r, func(epoch uint64, answer ReportAnswer) {
		if done || answer.Standing == ReportOutdated || epoch < a.epoch {
			return
		}
		done = true
		a.handleReply(r, epoch, answer, sentAt)
		if r.Terminated {
			a.sendReports()
			return
		}
		a.finishReports()
	})
}

func (a *simAgent) finishReports() {
	a.reporting = false
	if a.reportPending {
		a.startReports()
		return
	}
	round := a.reportRound
	a.after(simAgentReportInterval, func() {
		if !a.reporting && a.reportRound == round {
			a.startReports()
		}
	})
}

// sendReport delivers a report to the planner. If another planner has taken over by then, the report
// reaches it in half of the cases, as if it ran in the same process.
func (w *simCluster) sendReport(a *simAgent, r Report, reply func(epoch uint64, answer ReportAnswer)) {
	kind := reportMessage
	if r.Terminated {
		kind = departureMessage
	}
	sentTo, sentAt := w.engine, w.now
	d := w.delays.latency(w, kind)
	reachesSuccessor := w.delays.rng[kind].IntN(2) == 0
	if a.cut() {
		return
	}
	w.after(d, func() {
		w.atPlanner(func() {
			e := w.engine
			if a.cut() || e != sentTo && !reachesSuccessor {
				return
			}
			answer := w.handleReport(e, r, sentAt)
			if answer.Standing == ReportCurrent {
				w.delays.connections[agentConnection{e, r.Worker.Agent}] = a
			}
			w.after(w.delays.latency(w, replyMessage), func() {
				if !a.cut() {
					a.do(func() { reply(e.epoch, answer) })
				}
			})
		})
	})
}

// handleReport passes a report to the planner and notes which runs it ends there.
func (w *simCluster) handleReport(e *Engine, r Report, sentAt time.Duration) ReportAnswer {
	before, leaseBefore := len(e.actions), e.leaseExpiry(r.Worker.ID)
	answer := e.Report(w.now, r)
	if last := w.delays.newest[r.Worker.Agent]; r.Origin.Process < last.Process || r.Origin.Process == last.Process && r.Origin.Sequence < last.Sequence {
		w.counts["reports handled after newer ones"]++
	} else {
		w.delays.newest[r.Worker.Agent] = r.Origin
	}
	by := fmt.Sprintf(", by a report of %s sent %v before, %+v, newest %+v", r.Worker.ID, w.now-sentAt, r.Origin, w.delays.newest[r.Worker.Agent])
	w.noteEndedRuns(e.actions[before:], by)
	after := e.leaseExpiry(r.Worker.ID)
	w.trace(r.Worker.ID, "epoch %d handles report %+v sent at %v: epoch %d, unresponsive %v, extending %v, lease known %v remaining %v, polled %v, ended %v, terminated %v; attached %v, lease expires at %v, before %v",
		e.epoch, r.Origin, sentAt, r.Epoch, r.Unresponsive, r.ExtendingLease, r.LeaseKnown, r.LeaseRemaining, r.Polled, sequencesOf(r.Ended), r.Terminated, answer.Attached, after, leaseBefore)
	if after < leaseBefore {
		w.delays.shortened[r.Worker.ID] = fmt.Sprintf("at %v from %v to %v%s", w.now, leaseBefore, after, by)
	}
	return answer
}

func (e *Engine) leaseExpiry(id WorkerID) time.Duration {
	if w := e.workers[id]; w != nil {
		return w.leaseExpiresAt
	}
	return 0
}

// handleReply processes the planner's reply to a report that was sent at sentAt.
func (a *simAgent) handleReply(r Report, epoch uint64, answer ReportAnswer, sentAt time.Duration) {
	if epoch > a.epoch {
		a.raiseEpoch(epoch)
		a.pollNow()
	}
	if r.Terminated {
		if r.Origin.Epoch == epoch {
			a.departures = a.departures[1:]
		}
		return
	}
	inc := a.inc
	if inc == nil || inc.info.ID != r.Worker.ID {
		return
	}
	inc.clearReported(r)
	if inc.raiseFence(Fence{Epoch: epoch, Generation: answer.Generation}) {
		a.pollNow()
	}
	if answer.Attached {
		a.grantedUntil = max(a.grantedUntil, sentAt+simMaxLease)
		if inc.claimExtraPoll(a.cluster.now) {
			a.pollNow()
		}
	}
	inc.recordedEnds = max(inc.recordedEnds, answer.AckedEnds)
	a.cluster.trace(inc.info.ID, "reply to report %+v of %v, attached %v: granted until %v", r.Origin, sentAt, answer.Attached, a.grantedUntil)
}

func (a *simAgent) raiseEpoch(epoch uint64) {
	a.epoch = max(a.epoch, epoch)
	if a.inc != nil {
		a.inc.raiseFence(Fence{Epoch: a.epoch})
	}
}

// handleHeartbeat handles a heartbeat of the present incarnation of the worker.
func (a *simAgent) handleHeartbeat(sw *simWorker) {
	if a.endedIDs[sw.info.ID] || sw.dead {
		return
	}
	inc := a.inc
	switch {
	case inc != nil && inc.info.ID == sw.info.ID:
	case inc != nil && inc.info.SharesName(sw.info):
		a.resolveSharedName(inc, sw)
		return
	default:
		a.adopt(sw)
		inc = a.inc
	}
	if inc.info.Capacity != sw.info.Capacity || !inc.draining && sw.leavesAt != 0 || inc.capacityUnconfirmed {
		inc.capacityUnconfirmed = false
		inc.info.Capacity = sw.info.Capacity
		if !inc.leaving {
			inc.draining, inc.departsAt = sw.leavesAt != 0, sw.leavesAt
		}
		a.requestReport()
	}
}

// resolveSharedName polls the worker under the name of inc and adopts sw if it answers.
func (a *simAgent) resolveSharedName(inc *simIncarnation, sw *simWorker) {
	if !inc.unresponsive {
		inc.markUnresponsive(a.cluster.now)
	}
	a.poll(inc, 0, func(time.Duration) {
		if a.inc == nil && !a.endedIDs[sw.info.ID] && !sw.dead {
			a.adopt(sw)
		}
	})
}

// adopt replaces the current incarnation.
func (a *simAgent) adopt(sw *simWorker) {
	a.endUnannounced(false)
	a.inc = newSimIncarnation(sw)
	a.inc.fence = a.nextFence.Max(Fence{Epoch: a.epoch})
	a.requestReport()
}

// endUnannounced ends the current incarnation after another one was found in its place.
func (a *simAgent) endUnannounced(superseded bool) {
	if a.inc != nil {
		a.endIncarnation(!a.inc.draining, superseded)
	}
}

// handleDeparture handles a departure notice.
func (a *simAgent) handleDeparture(id WorkerID) {
	if a.inc == nil || a.inc.info.ID != id {
		a.endedIDs[id] = true
		return
	}
	if a.inc.info.Name != "" && !a.inc.draining {
		return // it may be a notice of an earlier incarnation
	}
	a.inc.leave(a.cluster.now)
	a.requestReport()
}

func (a *simAgent) endIncarnation(crashed, superseded bool) {
	inc := a.inc
	a.endedIDs[inc.info.ID] = true
	a.departures = append(a.departures, simDeparture{lostAt: inc.connectionLostAt, report: Report{
		Worker: inc.info, Terminated: true, Crashed: crashed, Superseded: superseded,
		Polled: inc.polled, Running: inc.pastStartup(), Ended: slices.Clone(inc.ended), EndsOmitted: inc.endsOmitted,
	}})
	a.nextFence = inc.fence
	a.nextFence.Generation += GenerationStep
	a.inc = nil
	a.requestReport()
}

// addLateEnds adds ends of a poll that was answered after the incarnation was found to have ended.
func (a *simAgent) addLateEnds(inc *simIncarnation, status simStatus) {
	for i := range a.departures {
		if d := &a.departures[i].report; d.Worker.ID == inc.info.ID && len(status.ended) > 0 {
			d.Polled = true
			d.Ended = append(slices.Clone(d.Ended), status.ended...)
			d.EndsOmitted = d.EndsOmitted || status.endsOmitted
		}
	}
}

// noteEndedRuns records why the planner takes runs for ended.
func (w *simCluster) noteEndedRuns(actions []Action, by string) {
	for _, action := range actions {
		d, ok := action.(Decision)
		if !ok || !slices.Contains([]string{"lost", "ended", "start refused"}, d.Kind) {
			continue
		}
		if _, noted := w.endedRuns[d.Run]; noted {
			continue
		}
		w.endedRuns[d.Run] = fmt.Sprintf("%s at %v: %s%s", d.Kind, w.now, d.Detail, by)
		if w.delays != nil && w.delays.shortened[d.Worker] != "" {
			w.endedRuns[d.Run] += "; its lease was shortened " + w.delays.shortened[d.Worker]
		}
	}
}

// whyEnded describes why the planner took a run for ended.
func (w *simCluster) whyEnded(run workload.RunID) string {
	if why := w.endedRuns[run]; why != "" {
		return why
	}
	return "not known as ended"
}

func sequencesOf(ended []RunEnd) (out []string) {
	for _, end := range ended {
		out = append(out, fmt.Sprintf("%d:%v", end.Sequence, end.Run))
	}
	return out
}
