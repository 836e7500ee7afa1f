package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/lease"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// act carries out what the engine decided. A term whose lease has lapsed decides
// nothing any more.
func (t *term) act() {
	if !t.active() {
		return
	}
	for _, action := range t.decide() {
		switch a := action.(type) {
		case engine.Orders:
			go t.send(a)
		case engine.AdviceRequest:
			go t.advise(a)
		case engine.Decision:
			t.logDecision(a)
		case engine.JobStarted:
			t.g.waits.Observe(a.Account+"/"+a.Queue, a.Waited)
		case engine.WorkDiscarded:
			t.logDiscarded(a)
		case engine.WorkerResized:
			t.log.WithField("worker", a.Worker).WithField("detail", a.String()).Info("worker's room changed")
		case engine.WorkerGone:
			t.logWorkerGone(a)
		case engine.JobLate:
			t.logLate(a)
		case engine.JobFinished:
			t.g.completions.Observe(a.Account+"/"+a.Queue+"/"+string(a.State), a.Took)
		}
	}
}

const (
	// planRest is how long no planning round follows one, in parts of what that took, so that
	// rounds take a third of the process's time at most. Every report may call for a round:
	// hundreds of agents would keep a weak processor at planning alone, and reports, renewals
	// and answers to callers would wait behind it.
	planRest = 2
	// planRestMost bounds the pause: a process that was suspended in a round has not planned
	// all that time.
	planRestMost = 250 * time.Millisecond
	// planBrief is what a round may take without such a pause.
	planBrief = time.Millisecond
)

// decide lets the engine decide, at the pace that this process can keep up.
func (t *term) decide() []engine.Action {
	began := lease.BootTime()
	if !t.g.cordonsFresh(began) {
		t.engine.DelayPlanning(began + tickEvery)
	}
	actions := t.engine.Decide(began)
	if took := lease.BootTime() - began; took > planBrief {
		t.engine.DelayPlanning(began + took + min(planRest*took, planRestMost))
	}
	return actions
}

// replanTimer makes the timer fire when a round that was postponed is due.
func (t *term) replanTimer(timer *time.Timer) {
	until, due := t.engine.NextPlanning()
	if left := until - lease.BootTime(); due && left > 0 {
		timer.Reset(left)
	}
}

func (t *term) logDecision(d engine.Decision) {
	fields := logrus.Fields{"job": d.Job}
	if d.Detail != "" {
		fields["detail"] = d.Detail
	}
	if d.Run.Number != 0 {
		fields["task"] = d.Run.Task.String()
		fields["run"] = d.Run.Number
	}
	if d.Worker != "" {
		fields["worker"] = d.Worker
	}
	t.log.WithFields(fields).Info(d.Kind)
}

// send gives orders to an agent over the connection on which it last reported.
func (t *term) send(o engine.Orders) {
	t.g.counts.Orders.Add(1)
	t.mu.Lock()
	conn := t.conns[o.Agent]
	t.mu.Unlock()
	o, withheld := t.withhold(o)
	var reply *link.OrdersReply
	if conn != nil && t.active() {
		reply = t.call(conn, o)
	}
	if reply == nil {
		reply = allAlike(o, engine.StartNotDelivered)
	}
	reply.Starts = append(reply.Starts, withheld...)
	if len(reply.Starts)+len(reply.Paces) > 0 {
		t.post(engine.OrdersCompleted{Worker: o.Worker, Starts: reply.Starts, Paces: reply.Paces})
	}
}

// call returns the agent's answer, or what is certain without one.
func (t *term) call(conn *wire.Conn, o engine.Orders) *link.OrdersReply {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), ordersTimeout)
	defer cancel()
	raw, err := conn.Call(ctx, link.NewOrders(t.epoch, o))
	if err != nil && unsent(err) == link.OutcomeNotDone {
		return allAlike(o, engine.StartNotDelivered)
	}
	reply, ok := raw.(*link.OrdersReply)
	if err != nil || !ok {
		return allAlike(o, engine.StartUnknown)
	}
	return reply
}

// allAlike gives all orders of a set the same outcome; no pace among them is confirmed.
func allAlike(o engine.Orders, outcome engine.StartOutcome) *link.OrdersReply {
	reply := &link.OrdersReply{}
	for _, s := range o.Starts {
		reply.Starts = append(reply.Starts, engine.StartResult{Run: s.Run, Outcome: outcome})
	}
	for _, p := range o.Paces {
		reply.Paces = append(reply.Paces, engine.PaceResult{PaceOrder: p})
	}
	return reply
}
