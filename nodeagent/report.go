package nodeagent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// reportLoop reports to the planner whenever there is something new, and at least once per
// reportInterval.
func (a *Agent) reportLoop() error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	retry := newReportBackoff()
	for a.tomb.Alive() {
		select {
		case <-a.reportPending:
		case <-timer.C:
		case <-a.tomb.Dying():
			return nil
		}
		if a.sendReports() {
			retry.Reset()
		} else {
			a.retryReport(retry.NextBackOff())
		}
		timer.Reset(reportInterval)
	}
	return nil
}

// sendReports sends all pending reports. Each is built when the one before has been answered. It
// returns false after the first one that failed.
func (a *Agent) sendReports() bool {
	for {
		pending := a.pendingReports()
		if len(pending) == 0 {
			return true
		}
		r := a.numbered(pending[0])
		reply, sentAt, ok := a.sendReport(r)
		if !ok || !a.handleReply(r, reply, sentAt) {
			a.counters.ReportsFailed.Add(1)
			return false
		}
		if !r.Terminated {
			return true
		}
	}
}

func newReportBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minReportRetry
	b.MaxInterval = maxReportRetry
	return b
}

// retryReport triggers another report after a delay.
func (a *Agent) retryReport(delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-a.tomb.Dying():
	}
	a.requestReport()
}

// pendingReports returns a report for each ended incarnation, and one for the current one, and limits
// grants to what that states.
func (a *Agent) pendingReports() []engine.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []engine.Report
	for _, d := range a.departures {
		out = append(out, d.report(now()))
	}
	if a.incarnation != nil {
		r := a.incarnation.report(now(), a.epoch)
		a.limitGrant(r)
		a.reportStarts(&r)
		out = append(out, r)
	}
	return out
}

// numbered gives a report the next number of this process.
func (a *Agent) numbered(r engine.Report) engine.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReport++
	r.Origin = engine.ReportOrigin{Process: a.process, Sequence: a.lastReport, BuiltAt: now(), Epoch: a.epoch}
	return r
}

func (a *Agent) sendReport(r engine.Report) (*link.ReportReply, time.Duration, bool) {
	a.counters.Reports.Add(1)
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	planner, ok := a.finder.locate(ctx)
	if !ok {
		return nil, 0, false
	}
	sentAt := now()
	raw, err := a.callPlanner(ctx, planner, &link.Report{Report: r})
	if err != nil {
		a.finder.markFailed(planner, err)
		return nil, 0, false
	}
	reply, ok := raw.(*link.ReportReply)
	if !ok {
		a.finder.markFailed(planner, nil)
		return nil, 0, false
	}
	a.finder.addGateways(reply.Members)
	if reply.Epoch == 0 {
		a.finder.redirect(planner, reply.Planner)
		return nil, 0, false
	}
	return reply, sentAt, true
}

// callPlanner calls the planner, and cancels the call as soon as a newer planner is known. A
// failed planner would hold up the report until its timeout, while its successor cannot place
// work on the worker without it.
func (a *Agent) callPlanner(ctx context.Context, planner string, msg any) (any, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if a.finder.awaitNewerPlanner(ctx) {
			cancel()
		}
	}()
	return a.pool.Call(ctx, planner, msg)
}

// handleReply processes the planner's reply to a report that was sent at sentAt. It returns false
// if the reply is of an outdated planner.
func (a *Agent) handleReply(r engine.Report, reply *link.ReportReply, sentAt time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cordon.update(reply.Cordoned, reply.CordonsRevision)
	if reply.Epoch < a.epoch {
		a.finder.rejectEpoch(reply.Epoch)
		return false
	}
	if reply.Epoch > a.epoch {
		a.log.WithField("epoch", reply.Epoch).WithField("before", a.epoch).Info("following new planner")
		a.raiseEpoch(reply.Epoch)
		a.pollNow()
	}
	if r.Terminated {
		if r.Origin.Epoch == reply.Epoch { // else the planner has ignored it
			a.departures = a.departures[1:]
		}
		return true
	}
	inc := a.incarnation
	if inc == nil || inc.info.ID != r.Worker.ID {
		return true
	}
	inc.clearReported(r)
	if inc.raiseFence(engine.Fence{Epoch: reply.Epoch, Generation: reply.Generation}) {
		a.pollNow() // only a poll under the new fence counts
	}
	inc.pollOften = reply.PollOften
	if reply.Attached {
		a.grantedUntil = max(a.grantedUntil, sentAt+a.cfg.MaxLease)
		if inc.claimExtraPoll(now()) {
			a.pollNow() // after a gap, the poll in progress may end too late to renew the lease
		}
	}
	if reply.AckedEnds > inc.recordedEnds {
		inc.recordedEnds = reply.AckedEnds
	}
	return true
}

// pollNow starts a poll that returns at once, in addition to the one in progress, which may
// wait for a second longer. The mutex is held.
func (a *Agent) pollNow() {
	if inc := a.incarnation; inc != nil {
		go a.poll(inc, 0)
	}
}

// raiseEpoch records a planner's epoch and raises the fence to it. The mutex is held.
func (a *Agent) raiseEpoch(epoch uint64) {
	a.epoch = max(a.epoch, epoch)
	if a.incarnation != nil {
		a.incarnation.raiseFence(engine.Fence{Epoch: a.epoch})
	}
}
