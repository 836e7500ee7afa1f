package nodeagent

import (
	"context"
	"time"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// reportLoop reports to the planner, whenever there is something new and at least every
// reportEvery.
func (a *Agent) reportLoop() error {
	timer := time.NewTimer(reportEvery)
	defer timer.Stop()
	for a.tomb.Alive() {
		select {
		case <-a.wake:
		case <-timer.C:
		case <-a.tomb.Dying():
			return nil
		}
		a.reportAll()
		timer.Reset(reportEvery)
	}
	return nil
}

func (a *Agent) reportAll() {
	for _, r := range a.reports() {
		reply, sent, ok := a.send(r)
		if !ok {
			a.counts.ReportsFailed.Add(1)
			a.retryReport()
			return
		}
		a.answered(r, reply, sent)
	}
}

// retryReport makes the loop try again soon.
func (a *Agent) retryReport() {
	select {
	case <-time.After(findPause):
	case <-a.tomb.Dying():
	}
	a.signal()
}

// reports returns what is to be said: of lives that are over, and of the present one.
func (a *Agent) reports() []engine.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []engine.Report
	for _, d := range a.left {
		out = append(out, engine.Report{Worker: d.info, Terminated: true, Crashed: d.crashed, Superseded: d.superseded, Polled: d.looked, Running: d.proven, Ended: d.over})
	}
	if a.life != nil {
		out = append(out, a.life.report(now(), a.epoch))
	}
	return out
}

func (a *Agent) send(r engine.Report) (*link.ReportReply, time.Duration, bool) {
	a.counts.Reports.Add(1)
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	planner, ok := a.finder.locate(ctx)
	if !ok {
		return nil, 0, false
	}
	sent := now()
	raw, err := a.callPlanner(ctx, planner, &link.Report{Report: r})
	if err != nil {
		a.finder.failed(planner, err)
		return nil, 0, false
	}
	reply, ok := raw.(*link.ReportReply)
	if !ok {
		a.finder.failed(planner, nil)
		return nil, 0, false
	}
	a.finder.learn(reply.Members)
	if reply.Epoch == 0 {
		a.finder.redirect(planner, reply.Planner)
		return nil, 0, false
	}
	return reply, sent, true
}

// callPlanner makes a call to the planner, and gives it up as soon as a newer planner is
// known: one whose machine has died would keep the report until its timeout, while its
// successor can place nothing before it.
func (a *Agent) callPlanner(ctx context.Context, planner string, msg any) (any, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if a.finder.awaitNewer(ctx) {
			cancel()
		}
	}()
	return a.pool.Call(ctx, planner, msg)
}

// answered takes the planner's answer to a report that was sent at time sent.
func (a *Agent) answered(r engine.Report, reply *link.ReportReply, sent time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cordon.learn(reply.Cordoned, reply.CordonsAt)
	if reply.Epoch < a.epoch {
		a.finder.stale(reply.Epoch)
		return
	}
	if reply.Epoch > a.epoch {
		a.log.WithField("epoch", reply.Epoch).WithField("before", a.epoch).Info("planner taken up")
		a.raiseEpoch(reply.Epoch)
		a.interrupt()
	}
	if r.Terminated {
		a.left = a.left[1:]
		return
	}
	l := a.life
	if l == nil || l.info.ID != r.Worker.ID {
		return
	}
	l.reported(r)
	if l.raise(engine.Fence{Epoch: reply.Epoch, Generation: reply.Turn}) {
		a.interrupt() // only a look under that fence counts
	}
	l.closely = reply.Closely
	if reply.Attached {
		a.granted = max(a.granted, sent+a.cfg.MaxLease)
		if l.hurry(now()) {
			a.interrupt() // after a gap; a look that waits would come too late
		}
	}
	if reply.Seen > l.seen {
		l.seen = reply.Seen
	}
}

// interrupt makes a look at once, beside the present one, which may wait for a second
// more. The mutex is held.
func (a *Agent) interrupt() {
	if l := a.life; l != nil {
		go a.look(l, 0)
	}
}

// raiseEpoch notes a planner's epoch. The mutex is held.
func (a *Agent) raiseEpoch(epoch uint64) {
	a.epoch = max(a.epoch, epoch)
	if a.life != nil {
		a.life.raise(engine.Fence{Epoch: a.epoch})
	}
}
